/*
 * Model of the slots of a cold target while its granter changes.
 *
 * Bounds: one cold target that takes one request at a time, an old granter whose lease ends at
 * LEASE_END and one new granter, two requesters with one slot and one request each, LAST_TIME units
 * of time. A slot is valid for SLOT units, a request arrives at the target within DELAY units, and a
 * lease holder stops granting MARGIN units before the end of its lease. A grant takes any time to
 * arrive. A requester checks its slot and sends its request in one step.
 *
 * Steps and the code that they model:
 *   GRANT      the granter in src/core/slots; HeldLease.valid_ms limits the lifetime of a slot
 *   TAKE_OVER  grantDelayMs in buildReport of src/core/controller/domain-controller.ts
 *   QUERY      the granter asks the target which requests it runs (7.6)
 *   START      SlotClient.takeSlot in src/core/slots, called by src/core/routing/placer.ts
 *
 * Property: the target never has more requests than its limit (I3).
 *
 * run: pass
 * run: pass RELEASED          the old granter may release its lease at any time
 * run: fail BREAK_COUNT       a granter does not count the requests that the target runs
 * run: fail BREAK_WAIT        the new granter starts before the old lease has ended
 * run: fail BREAK_MARGIN      the old granter grants until its lease ends
 * run: fail BREAK_SENT_TIME   a requester measures a slot's lifetime from its arrival, not its request
 * run: fail BREAK_EXPIRED     a granter treats an expired slot as free without a query
 * run: fail RELEASED BREAK_DELAY   after a release, the new granter waits only until the slots expire
 */
#define LAST_TIME 9
#define LEASE_END 4
#define SLOT 2
#define DELAY 1

#ifdef BREAK_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

#ifdef BREAK_DELAY
#define GRANT_DELAY SLOT
#else
#define GRANT_DELAY (SLOT + DELAY)
#endif

#define NEVER 99

mtype = { IDLE, ASKED, HELD, SENDING, RUNNING };

byte now;
byte stopsAt = LEASE_END - MARGIN;
byte startsAt = LEASE_END;

mtype state[2] = IDLE;
byte askedAt[2];
byte validUntil[2];
byte startedAt[2];
/* Lifetime of a slot that is in flight to a requester; 0 means none. */
byte lifetime[2];

#define HOLDS(r) (state[r] == SENDING || state[r] == RUNNING)
#define IS_AT_MAX_DELAY(r) (state[r] == SENDING && now - startedAt[r] >= DELAY)

/* Time advances only if no request has reached its maximum delay. */
proctype Clock() {
end:
  do
  :: atomic { now < LAST_TIME && !IS_AT_MAX_DELAY(0) && !IS_AT_MAX_DELAY(1) -> now++ }
  od
}

inline assertLimit() {
  assert(!(HOLDS(0) && HOLDS(1)))
}

proctype Requester(byte r) {
end:
  do
  :: atomic { state[r] == IDLE && now < LAST_TIME -> state[r] = ASKED; askedAt[r] = now }
  :: atomic { state[r] == ASKED && lifetime[r] != 0 ->
#ifdef BREAK_SENT_TIME
       validUntil[r] = now + lifetime[r];
#else
       validUntil[r] = askedAt[r] + lifetime[r];
#endif
       lifetime[r] = 0; state[r] = HELD }
  :: atomic { state[r] == HELD ->
       if
       :: now < validUntil[r] -> state[r] = SENDING; startedAt[r] = now; assertLimit()
       :: now >= validUntil[r] -> state[r] = IDLE
       fi;
       validUntil[r] = 0; askedAt[r] = 0 }
  :: atomic { state[r] == SENDING -> state[r] = RUNNING; startedAt[r] = 0 }
  :: atomic { state[r] == RUNNING -> state[r] = IDLE }
  od
}

#ifdef BREAK_COUNT
#define IS_EMPTY true
#else
#define IS_EMPTY (state[0] != RUNNING && state[1] != RUNNING)
#endif

/* A slot counts as used until it has expired and a request sent just before has arrived. */
#ifdef BREAK_EXPIRED
#define IS_SETTLED (now >= expiresAt)
#define KNOWS_EMPTY true
#else
#define IS_SETTLED (now >= expiresAt + DELAY)
#define KNOWS_EMPTY isEmpty
#endif

/* Sends a slot that was decided on earlier. The granter may be paused between checking the clock and
   the target, in decide, and sending the slot. */
inline grant(r) {
  atomic { isDecided && grantee == r ->
    if
    :: state[r] == ASKED && lifetime[r] == 0 && askedAt[r] == asked -> lifetime[r] = granted
    :: else /* The grant answers a slot request that is no longer open. */
    fi;
    isDecided = false; granted = 0; grantee = 0; asked = 0 }
}

inline decide(r) {
  atomic { state[r] == ASKED && lifetime[r] == 0 && !isDecided && IS_SETTLED && KNOWS_EMPTY &&
      now >= from && now < stop ->
    grantee = r; asked = askedAt[r]; isDecided = true; isEmpty = false;
    if
    :: stop - now < SLOT -> granted = stop - now
    :: else -> granted = SLOT
    fi;
    expiresAt = now + granted }
}

proctype Granter(bool isOld) {
  byte from, stop, expiresAt, granted, grantee, asked;
  bool isDecided, isEmpty;
  if
  :: isOld -> from = 0
#ifdef BREAK_WAIT
  :: !isOld -> stop = NEVER
#else
  :: !isOld -> atomic { now >= startsAt -> from = now; stop = NEVER }
#endif
  fi;
#ifdef BREAK_EXPIRED
  atomic { IS_EMPTY -> isEmpty = true };
#endif
end:
  do
  :: atomic { isOld && stop != stopsAt -> stop = stopsAt }
  :: atomic { !isEmpty && !isDecided && IS_SETTLED && IS_EMPTY && now >= from -> isEmpty = true }
  :: decide(0)
  :: decide(1)
  :: grant(0)
  :: grant(1)
#ifdef RELEASED
  :: atomic { isOld && now < stopsAt && !isDecided ->
       stopsAt = now; stop = now; startsAt = now + GRANT_DELAY }
#endif
  od
}

init {
  atomic {
    run Clock();
    run Requester(0);
    run Requester(1);
    run Granter(true);
    run Granter(false)
  }
}
