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
 *   READ, SETTLE     LeaseManager.observe; resolveUndecidedWrite in
 *                    src/core/controller/domain-controller.ts
 *   TAKE             acquireLease in src/core/allocation/lease.ts
 *   PUT              PlatformClient.writeObject: applied, refused, answer lost, or arriving late
 *   CLAIM, RELEASE   HomeWriter.writeHome and HomeCache in src/core/controller
 *   ADOPT, REMOVE    planVms in src/core/planning/plan-vms.ts
 *
 * Property: the VM is never in both allocations (I2). The structure of an allocation allows a VM in
 * one group at most, so a VM in two allocations is the only way to be in two groups.
 *
 * run: pass
 * run: fail BREAK_CONDITION        a write of the allocation ignores the version
 * run: fail BREAK_EPOCH            a home written in an earlier epoch counts as owned
 * run: fail BREAK_ORDER            the home is deleted while the VM is still in the allocation
 * run: fail BREAK_SETTLE           no lease renewal after a write with an unknown outcome
 * run: fail BREAK_LATER_EPOCH      a holder deletes or overwrites a home of a later epoch than its own
 * run: fail BREAK_UNKNOWN_DELETE   a home counts as owned after a delete with an unknown outcome
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
byte listedDomain;
byte moves;
bool hadWriteFault;

/* A write that its sender no longer waits for and that may still arrive. */
mtype lateKind;
byte lateBase;
byte lateEpoch;
byte lateDomain;

#ifdef BREAK_EPOCH
#define IS_OWNED (knownHome == domain)
#else
#define IS_OWNED (knownHome == domain && knownEpoch == ownEpoch)
#endif

#ifdef BREAK_LATER_EPOCH
#define IS_EARLIER true
#else
#define IS_EARLIER (knownEpoch <= ownEpoch)
#endif

#ifdef BREAK_ORDER
#define MAY_REMOVE (knownHome != domain)
#define MAY_RELEASE (knownHome == domain && IS_EARLIER)
#else
#define MAY_REMOVE true
#define MAY_RELEASE (knownHome == domain && !copyHasVm && IS_EARLIER)
#endif

#define CAN_ACT (ownEpoch != 0 && !isUncertain)
#define MAY_CLAIM (knownHome == NONE || (knownHome == domain && knownEpoch != ownEpoch && IS_EARLIER))

#ifdef BREAK_CONDITION
#define IS_BASE(d, base) true
#else
#define IS_BASE(d, base) (version[d] == base)
#endif

inline applyWrite(kind, d, base, newEpoch, outcome) {
  outcome = REFUSED;
  if
  :: kind == CLAIM ->
     if
     :: (home == NONE && base == 0) || (home != NONE && homeVersion == base) ->
        homeWrites++;
        home = d; homeEpoch = newEpoch; homeVersion = homeWrites;
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
        :: kind == TAKE -> epoch[d] = newEpoch
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
inline put(kind, d, base, newEpoch) {
  if
  :: applyWrite(kind, d, base, newEpoch, result)
  :: !hadWriteFault -> hadWriteFault = true; applyWrite(kind, d, base, newEpoch, result); result = UNKNOWN
  :: !hadWriteFault -> hadWriteFault = true; result = UNKNOWN;
     lateKind = kind; lateBase = base; lateEpoch = newEpoch; lateDomain = d
  fi
}

inline read() {
  atomic {
    copyVersion = version[domain];
    copyHasVm = inAllocation[domain];
    if
    :: epoch[domain] != ownEpoch -> ownEpoch = 0
    :: else
    fi;
    isUncertain = false
  }
}

inline readHome() {
  atomic {
    knownHome = home; knownVersion = homeVersion; knownEpoch = homeEpoch;
#ifndef BREAK_UNKNOWN_DELETE
    if
    :: unresolvedVersion > 0 && knownVersion <= unresolvedVersion -> knownEpoch = 0
    :: else
    fi
#endif
  }
}

/* Handles the outcome of an allocation write. If it was applied, the local copy is updated; if the
   outcome is unknown, the copy is read again; if it was refused, the lease counts as lost. */
inline finish(hasVm) {
  if
  :: result == APPLIED -> copyVersion = copyVersion + 1; copyHasVm = hasVm
  :: result == UNKNOWN -> isUncertain = true
  :: else -> ownEpoch = 0
  fi;
  result = 0
}

inline finishHome() {
  if
  :: result == UNKNOWN -> unresolvedVersion = knownVersion; knownEpoch = 0
  :: else
  fi;
  result = 0
}

proctype Controller(byte domain; bool isHolder) {
  mtype result;
  byte ownEpoch, copyVersion, knownHome = NONE, knownVersion, knownEpoch, unresolvedVersion;
  bool copyHasVm, isUncertain;

  if
  :: isHolder -> ownEpoch = 1
  :: else ->
     /* Takes over the lease of the first holder, at any moment. */
     atomic {
       copyHasVm = inAllocation[domain];
       copyVersion = version[domain];
       ownEpoch = epoch[domain] + 1;
       put(TAKE, domain, copyVersion, ownEpoch);
       if
       :: result == APPLIED -> copyVersion = copyVersion + 1
       :: else -> ownEpoch = 0
       fi;
       result = 0
     };
     readHome()
  fi;
end:
  do
  :: ownEpoch != 0 && isUncertain ->
     read();
#ifndef BREAK_SETTLE
     atomic {
       if
       :: ownEpoch != 0 -> put(RENEW, domain, copyVersion, ownEpoch); finish(copyHasVm)
       :: else
       fi
     }
#endif
  :: CAN_ACT && !copyHasVm && listedDomain == domain && IS_OWNED ->
     atomic { put(ADOPT, domain, copyVersion, ownEpoch); finish(true) }
  :: CAN_ACT && copyHasVm && listedDomain != domain && MAY_REMOVE ->
     atomic { put(REMOVE, domain, copyVersion, ownEpoch); finish(false) }
  :: CAN_ACT && !copyHasVm && listedDomain == domain && MAY_CLAIM ->
     atomic { put(CLAIM, domain, knownVersion, ownEpoch); finishHome() };
     readHome()
  :: CAN_ACT && listedDomain != domain && MAY_RELEASE ->
     atomic { put(RELEASE, domain, knownVersion, ownEpoch); finishHome() };
     readHome()
  :: CAN_ACT && knownVersion != homeVersion -> readHome()
  od
}

proctype Network() {
  mtype ignored;
end:
  do
  :: atomic { lateKind != 0 ->
       applyWrite(lateKind, lateDomain, lateBase, lateEpoch, ignored);
       lateKind = 0; lateBase = 0; lateEpoch = 0; lateDomain = 0; ignored = 0 }
  :: atomic { moves < MAX_MOVES -> moves++; listedDomain = 1 - listedDomain }
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
