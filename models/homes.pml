/*
 * Model of a VM that moves between fabric domains: the allocation object of each domain with its
 * epoch, and the home object of the VM, which names the domain that owns it.
 *
 * Bounds: one VM, two fabric domains, one controller that holds domain 0 and one that takes it over
 * once, one that holds domain 1, MAX_MOVES moves in the VM list, one lost answer or late write. A
 * controller may be paused between any two steps, for any time; an outage of the platform is the
 * same as a pause of all controllers. Lease timing is not modelled: a controller may take over a
 * domain at any moment, so the property does not depend on clocks.
 *
 * Steps and the code that they model:
 *   READ, SETTLE     LeaseKeeper.observe; settleWrite in src/core/controller/domain-task.ts
 *   TAKE             acquireLease in src/core/allocation/lease.ts
 *   PUT              PlatformClient.writeObject: applied, refused, answer lost, or arriving late
 *   CLAIM, RELEASE   HomeWriter.writeHome and HomeBook in src/core/controller
 *   ADOPT, REMOVE    planVms in src/core/planning/plan-vms.ts
 *
 * Property: the VM is never in both allocations (I2). The structure of an allocation allows a VM in
 * one group at most, so a VM in two allocations is the only way to be in two groups.
 *
 * run: pass
 * run: fail BREAK_CONDITION   a write of the allocation ignores the version
 * run: fail BREAK_EPOCH       a home written in an earlier epoch counts as owned
 * run: fail BREAK_ORDER       the home is deleted while the VM is still in the allocation
 * run: fail BREAK_SETTLE      no lease renewal after a write with an unknown outcome
 * run: fail BREAK_LATER       a holder deletes or overwrites a home of a later epoch than its own
 * run: fail BREAK_DOUBT       a home counts as owned after a delete with an unknown outcome
 */
#define MAX_MOVES 3
#define NONE 2

mtype = { APPLIED, REFUSED, UNKNOWN };
mtype = { TAKE, ADOPT, REMOVE, RENEW, CLAIM, RELEASE };

bool inAllocation[2];
byte version[2];
byte epoch[2];
byte home = NONE;
byte homeEpoch;
byte homeVersion;
byte homeWrites;
byte listed;
byte moves;
bool hadFault;

/* A write that its sender no longer waits for and that may still arrive. */
mtype lateKind;
byte lateBase;
byte lateEpoch;
byte lateDomain;

#ifdef BREAK_EPOCH
#define IS_OWNED (knownHome == domain)
#else
#define IS_OWNED (knownHome == domain && knownEpoch == mine)
#endif

#ifdef BREAK_LATER
#define IS_EARLIER true
#else
#define IS_EARLIER (knownEpoch <= mine)
#endif

#ifdef BREAK_ORDER
#define MAY_REMOVE (knownHome != domain)
#define MAY_RELEASE (knownHome == domain && IS_EARLIER)
#else
#define MAY_REMOVE true
#define MAY_RELEASE (knownHome == domain && !copyIn && IS_EARLIER)
#endif

#define CAN_ACT (mine != 0 && !isUncertain)
#define MAY_CLAIM (knownHome == NONE || (knownHome == domain && knownEpoch != mine && IS_EARLIER))

#ifdef BREAK_CONDITION
#define IS_BASE(d, base) true
#else
#define IS_BASE(d, base) (version[d] == base)
#endif

inline land(kind, d, base, ep, outcome) {
  outcome = REFUSED;
  if
  :: kind == CLAIM ->
     if
     :: (home == NONE && base == 0) || (home != NONE && homeVersion == base) ->
        homeWrites++;
        home = d; homeEpoch = ep; homeVersion = homeWrites;
        outcome = APPLIED
     :: else
     fi
  :: kind == RELEASE ->
     if
     :: home != NONE && homeVersion == base ->
        homeWrites++;
        home = NONE; homeEpoch = 0; homeVersion = 0;
        outcome = APPLIED
     :: else
     fi
  :: else ->
     if
     :: IS_BASE(d, base) ->
        version[d]++;
        if
        :: kind == TAKE -> epoch[d] = ep
        :: kind == ADOPT -> inAllocation[d] = true
        :: kind == REMOVE -> inAllocation[d] = false
        :: else
        fi;
        outcome = APPLIED
     :: else
     fi
  fi;
  assert(!(inAllocation[0] && inAllocation[1]))
}

/* Sends a write. The sender may be paused before this; the network chooses the outcome. */
inline put(kind, d, base, ep) {
  if
  :: land(kind, d, base, ep, result)
  :: !hadFault -> hadFault = true; land(kind, d, base, ep, result); result = UNKNOWN
  :: !hadFault -> hadFault = true; result = UNKNOWN;
     lateKind = kind; lateBase = base; lateEpoch = ep; lateDomain = d
  fi
}

inline read() {
  atomic {
    copyVersion = version[domain];
    copyIn = inAllocation[domain];
    if
    :: epoch[domain] != mine -> mine = 0
    :: else
    fi;
    isUncertain = false
  }
}

inline readHome() {
  atomic {
    knownHome = home; knownVersion = homeVersion; knownEpoch = homeEpoch;
#ifndef BREAK_DOUBT
    if
    :: doubtVersion > 0 && knownVersion <= doubtVersion -> knownEpoch = 0
    :: else
    fi
#endif
  }
}

/* Handles the outcome of an allocation write. If it was applied, the local copy is updated; if the
   outcome is unknown, the copy is read again; if it was refused, the lease counts as lost. */
inline finish(isIn) {
  if
  :: result == APPLIED -> copyVersion = copyVersion + 1; copyIn = isIn
  :: result == UNKNOWN -> isUncertain = true
  :: else -> mine = 0
  fi;
  result = 0
}

inline finishHome() {
  if
  :: result == UNKNOWN -> doubtVersion = knownVersion; knownEpoch = 0
  :: else
  fi;
  result = 0
}

proctype Controller(byte domain; bool isHolder) {
  mtype result;
  byte mine, copyVersion, knownHome = NONE, knownVersion, knownEpoch, doubtVersion;
  bool copyIn, isUncertain;

  if
  :: isHolder -> mine = 1
  :: else ->
     /* Takes over the lease of the first holder, at any moment. */
     atomic {
       copyIn = inAllocation[domain];
       copyVersion = version[domain];
       mine = epoch[domain] + 1;
       put(TAKE, domain, copyVersion, mine);
       if
       :: result == APPLIED -> copyVersion = copyVersion + 1
       :: else -> mine = 0
       fi;
       result = 0
     };
     readHome()
  fi;
end:
  do
  :: mine != 0 && isUncertain ->
     read();
#ifndef BREAK_SETTLE
     atomic {
       if
       :: mine != 0 -> put(RENEW, domain, copyVersion, mine); finish(copyIn)
       :: else
       fi
     }
#endif
  :: CAN_ACT && !copyIn && listed == domain && IS_OWNED ->
     atomic { put(ADOPT, domain, copyVersion, mine); finish(true) }
  :: CAN_ACT && copyIn && listed != domain && MAY_REMOVE ->
     atomic { put(REMOVE, domain, copyVersion, mine); finish(false) }
  :: CAN_ACT && !copyIn && listed == domain && MAY_CLAIM ->
     atomic { put(CLAIM, domain, knownVersion, mine); finishHome() };
     readHome()
  :: CAN_ACT && listed != domain && MAY_RELEASE ->
     atomic { put(RELEASE, domain, knownVersion, mine); finishHome() };
     readHome()
  :: CAN_ACT && knownVersion != homeVersion -> readHome()
  od
}

proctype Network() {
  mtype ignored;
end:
  do
  :: atomic { lateKind != 0 ->
       land(lateKind, lateDomain, lateBase, lateEpoch, ignored);
       lateKind = 0; lateBase = 0; lateEpoch = 0; lateDomain = 0; ignored = 0 }
  :: atomic { moves < MAX_MOVES -> moves++; listed = 1 - listed }
  od
}

init {
  atomic {
    epoch[0] = 1;
    epoch[1] = 1;
    run Controller(0, true);
    run Controller(0, false);
    run Controller(1, true);
    run Network()
  }
}
