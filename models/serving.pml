/*
 * Model of one group of two members under two controllers: lease, epoch, orders, and the condition
 * under which the group serves.
 *
 * Bounds: one group on two VMs, MAX_GENERATION generations (a change of members is modelled as a new
 * generation that both VMs must reach), a lease holder and one takeover, one order in flight from
 * each controller to each VM, delayed for any time. Without NO_PAUSE, the old holder may be paused
 * between its lease check and a send, for any time; an outage of the platform is the same as a pause.
 *
 * Steps and the code that they model:
 *   TAKE      acquireLease; sendOrdersFromMs in src/core/controller/lease-manager.ts
 *   REFORM    planRepairs in src/core/planning/plan-repairs.ts, one conditional write
 *   ORDER     OrderSender.sendOrder in src/core/controller/order-sender.ts
 *   QUERY     VmMonitor.queryVms in src/core/controller/vm-monitor.ts
 *   SERVE     isConfirmed in src/core/planning/members.ts, one conditional write
 *   deliver   the engine: it refuses an older epoch unless IGNORES_FENCING is set
 *   ANSWER    an entry daemon drops answers of a generation other than the current one (7.3)
 *
 * Properties: while the group serves at a generation, no member is at another one (I1). With paused
 * holders and engines that ignore fencing, I1 does not hold, but no answer of another generation is
 * used (ANSWERS_ONLY checks just this).
 *
 * run: pass
 * run: pass IGNORES_FENCING NO_PAUSE
 * run: pass IGNORES_FENCING ANSWERS_ONLY
 * run: fail IGNORES_FENCING                  a paused holder sends a late order after a takeover
 * run: fail IGNORES_FENCING NO_PAUSE BREAK_WAIT   a new holder does not wait until old orders have arrived
 * run: fail IGNORES_FENCING ANSWERS_ONLY BREAK_ANSWER   answers are used without a check of the generation
 * run: fail BREAK_EPOCH      the epoch is not raised at a takeover
 * run: fail BREAK_CONFIRM    the group serves once the orders are sent, without confirmation by the members
 * run: fail BREAK_ONE_ORDER  another order is sent while one without an answer is in flight
 */
#define MAX_GENERATION 3
#define VMS 2

byte version;
byte epoch = 1;
byte generation = 1;
bool serving;
bool oldHolderMayAct = true;

byte vmGeneration[VMS];
byte vmEpoch[VMS];

/* Orders in flight, by controller and VM, with two entries each; generation 0 means none. Only
   BREAK_ONE_ORDER uses the second entry. */
byte inFlightGeneration[8];
byte inFlightEpoch[8];

#define ORDER_INDEX(vm) (id * 4 + (vm) * 2)
#define HAS_NO_ORDER(id, vm) (inFlightGeneration[(id) * 4 + (vm) * 2] == 0)

#ifdef ANSWERS_ONLY
#define CHECK
#else
#define CHECK assert(!serving || (vmGeneration[0] == generation && vmGeneration[1] == generation))
#endif

#ifdef NO_PAUSE
#define MAY_ACT (id == 1 || oldHolderMayAct)
#else
#define MAY_ACT true
#endif

#ifdef BREAK_WAIT
#define HAS_WAITED true
#else
#define HAS_WAITED (id == 0 || (HAS_NO_ORDER(0, 0) && HAS_NO_ORDER(0, 1)))
#endif

#ifdef NO_PAUSE
#define MAY_ORDER (MAY_ACT && HAS_WAITED)
#else
#define MAY_ORDER true
#endif

#ifdef BREAK_ONE_ORDER
#define MAY_SEND(vm) true
#else
#define MAY_SEND(vm) (HAS_NO_ORDER(id, vm) || inFlightGeneration[ORDER_INDEX(vm)] == copyGeneration)
#endif

inline send(vm) {
  if
  :: HAS_NO_ORDER(id, vm) || inFlightGeneration[ORDER_INDEX(vm)] == copyGeneration ->
     inFlightGeneration[ORDER_INDEX(vm)] = copyGeneration; inFlightEpoch[ORDER_INDEX(vm)] = ownEpoch
  :: else ->
     inFlightGeneration[ORDER_INDEX(vm) + 1] = copyGeneration; inFlightEpoch[ORDER_INDEX(vm) + 1] = ownEpoch
  fi;
  ordered[vm] = copyGeneration;
  answered[0] = 0; answered[1] = 0
}

#define IS_ORDERED (ordered[0] == copyGeneration && ordered[1] == copyGeneration)

#ifdef BREAK_CONFIRM
#define IS_ANSWERED true
#else
#define IS_ANSWERED (answered[0] == copyGeneration && answered[1] == copyGeneration)
#endif

proctype Controller(byte id) {
  byte ownEpoch, copyVersion, copyGeneration;
  byte ordered[VMS];
  byte answered[VMS];

  if
  :: id == 0 -> atomic { ownEpoch = 1; copyGeneration = 1 }
  :: else -> atomic {
       /* The conditional write of the takeover; an old holder that was paused may still send orders. */
       oldHolderMayAct = false;
       version++;
#ifndef BREAK_EPOCH
       epoch++;
#endif
       ownEpoch = epoch; copyVersion = version; copyGeneration = generation }
  fi;
end:
  do
  :: atomic { MAY_ACT && version == copyVersion && generation < MAX_GENERATION ->
       version++; generation++; serving = false;
       copyVersion = version; copyGeneration = generation;
       answered[0] = 0; answered[1] = 0 }
  :: atomic { MAY_ORDER && MAY_SEND(0) && ordered[0] != copyGeneration -> send(0) }
  :: atomic { MAY_ORDER && MAY_SEND(1) && ordered[1] != copyGeneration -> send(1) }
  :: atomic { MAY_ACT && answered[0] != vmGeneration[0] -> answered[0] = vmGeneration[0] }
  :: atomic { MAY_ACT && answered[1] != vmGeneration[1] -> answered[1] = vmGeneration[1] }
  :: atomic { MAY_ACT && version == copyVersion && !serving && IS_ORDERED && IS_ANSWERED ->
       version++; serving = true; copyVersion = version;
       CHECK }
  od
}

inline deliver(order, vm) {
  if
#ifdef IGNORES_FENCING
  :: true ->
#else
  :: inFlightEpoch[order] >= vmEpoch[vm] ->
#endif
     vmGeneration[vm] = inFlightGeneration[order];
     if
     :: inFlightEpoch[order] > vmEpoch[vm] -> vmEpoch[vm] = inFlightEpoch[order]
     :: else
     fi
#ifndef IGNORES_FENCING
  :: else
#endif
  fi;
  inFlightGeneration[order] = 0; inFlightEpoch[order] = 0;
  CHECK
}

proctype Network() {
end:
  do
  :: atomic { inFlightGeneration[0] != 0 -> deliver(0, 0) }
  :: atomic { inFlightGeneration[1] != 0 -> deliver(1, 0) }
  :: atomic { inFlightGeneration[2] != 0 -> deliver(2, 1) }
  :: atomic { inFlightGeneration[3] != 0 -> deliver(3, 1) }
  :: atomic { inFlightGeneration[4] != 0 -> deliver(4, 0) }
  :: atomic { inFlightGeneration[5] != 0 -> deliver(5, 0) }
  :: atomic { inFlightGeneration[6] != 0 -> deliver(6, 1) }
  :: atomic { inFlightGeneration[7] != 0 -> deliver(7, 1) }
  od
}

/* An entry daemon reads answers of the member with rank 0 while the group serves. */
proctype Daemon() {
  byte answer;
end:
  do
  :: atomic { serving -> answer = vmGeneration[0];
       if
#ifndef BREAK_ANSWER
       :: answer != generation -> skip
#endif
       :: else -> assert(answer == generation)
       fi;
       answer = 0 }
  od
}

init {
  atomic {
    run Controller(0);
    run Controller(1);
    run Network();
#ifdef ANSWERS_ONLY
    run Daemon()
#endif
  }
}
