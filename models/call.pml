/*
 * A non-idempotent call: one request id, its owner, another daemon, a caller that retries through
 * both, and a target.
 *
 * Bounds: one request id; MAX_MESSAGES orders and lookups of the caller, sent without waiting for
 * answers, each to the owner or through the other daemon; MAX_TRIES targets that the owner tries.
 * A message between caller, daemons and owner may be lost, overtaken or delayed for any time, and
 * so may its answer. The owner may die at any step, once; its next incarnation knows nothing. The
 * prefix of the id may expire at any step. The ledger may be full at any time before the id is
 * seen.
 * Timeouts are left out: any wait may end at any moment.
 *
 * Steps and the code that they stand for:
 *   ORDER, LOOKUP      CallRouter.runCall, settleCall; handleForwardCall, handleLookupCall
 *                      (src/core/calls/call-router.ts)
 *   state transitions  applyCallEvent (src/core/calls/call-state.ts)
 *   expired, full      CallLedger.checkId, closeUnseen (src/core/calls/call-ledger.ts)
 *   connect, send      runAtTargets (src/core/calls/call-owner.ts) and sendCall with
 *                      openSingleConnection (src/core/targets/service-client.ts)
 *   askOwner           the other daemon says unknown when no answer comes
 *                      (src/core/calls/call-router.ts)
 *
 * Properties: the target runs the call at most once (I7), and not-run is never said of a call that
 * ran before or runs later (I6).
 *
 * run: pass
 * run: fail BREAK_RESEND    the owner sends again after a byte may have left
 * run: fail BREAK_LOOKUP    a lookup of an unseen id does not close the id
 * run: fail BREAK_FORWARD   another daemon runs the call when the owner does not answer
 * run: fail BREAK_EXPIRY    an expired id counts as unseen
 * run: fail BREAK_FULL      a full ledger refuses an id without closing it
 * run: fail BREAK_RESTART   the next incarnation of the owner accepts the id
 */
#define MAX_MESSAGES 4
#define MAX_TRIES 2

#ifdef BREAK_RESTART
#define IS_OTHER_INCARNATION false
#else
#define IS_OTHER_INCARNATION hasDied
#endif

#ifdef BREAK_EXPIRY
#define IS_EXPIRED false
#else
#define IS_EXPIRED isExpired
#endif

mtype = { ORDER, LOOKUP };
mtype = { UNSEEN, ACCEPTED, SENDING, DONE, UNKNOWN, CLOSED };
mtype = { CALL, ANSWER };

/* Messages for the owner, read in any order; they outlive an incarnation. */
chan toOwner = [MAX_MESSAGES] of { mtype };
/* Calls whose first byte has left, and the answers to them. */
chan toTarget = [MAX_MESSAGES] of { mtype };
chan fromTarget = [MAX_MESSAGES] of { mtype };

mtype state = UNSEEN;
bool hasLeft;
byte tries;
byte messages;
byte runs;
bool saidNotRun;
bool isExpired;
bool isFull;
bool closedUnseen;
bool hasDied;

/* The target runs whatever reaches it. */
inline runCall() {
  runs++;
  assert(runs <= 1);
  assert(!saidNotRun)
}

inline sayNotRun() {
  saidNotRun = true;
  assert(runs == 0)
}

active proctype Caller() {
  do
  :: messages < MAX_MESSAGES ->
     atomic {
       messages++;
       if
       :: toOwner ! ORDER
       :: toOwner ! LOOKUP
       :: skip                       /* lost on the way; the caller may send again */
       fi
     }
  :: break
  od
}

/* It forwards, and says unknown when no answer comes, although the owner may have the message. */
active proctype OtherDaemon() {
#ifdef BREAK_FORWARD
  if
  :: atomic { messages > 0 -> toTarget ! CALL }
  :: true
  fi
#else
  skip
#endif
}

active proctype Target() {
end:
  do
  :: atomic {
       toTarget ? CALL ->
       if
       :: runCall(); fromTarget ! ANSWER
       :: runCall()                  /* the answer is lost */
       :: skip                       /* the call is lost after a byte left */
       fi
     }
  od
}

active proctype Owner() {
end:
  do
  /* A call arrives, from the caller or forwarded; where nothing is said, the answer is unknown,
     or the stored result, or comes later. */
  :: atomic {
       toOwner ?? ORDER ->
       if
       :: IS_OTHER_INCARNATION || IS_EXPIRED -> skip
       :: else ->
          if
          :: state == UNSEEN && closedUnseen -> sayNotRun()
          :: state == UNSEEN && !closedUnseen && isFull ->
#ifndef BREAK_FULL
             closedUnseen = true;
#endif
             sayNotRun()
          :: state == UNSEEN && !closedUnseen && !isFull -> state = ACCEPTED
          :: state == CLOSED -> sayNotRun()
          :: else -> skip
          fi
       fi
     }
  :: atomic {
       toOwner ?? LOOKUP ->
       if
       :: IS_OTHER_INCARNATION || IS_EXPIRED -> skip
       :: else ->
          if
          :: state == UNSEEN ->
#ifndef BREAK_LOOKUP
             if
             :: isFull -> closedUnseen = true
             :: else -> state = CLOSED
             fi;
#endif
             sayNotRun()
          :: state == CLOSED -> sayNotRun()
          :: else -> skip
          fi
       fi
     }
  /* A limit, the queue, or no target that could be reached: no byte has left. */
  :: atomic { state == ACCEPTED -> state = CLOSED; sayNotRun() }
  /* Connect to a target. */
  :: atomic {
       state == ACCEPTED && tries < MAX_TRIES -> tries++; state = SENDING; hasLeft = false
     }
  /* The connection was never established. */
  :: atomic { state == SENDING && !hasLeft -> state = ACCEPTED }
  /* It is established: a byte may have left. */
  :: atomic { state == SENDING && !hasLeft -> hasLeft = true; toTarget ! CALL }
  /* The answer arrives, or the wait for it ends. */
  :: atomic { state == SENDING && hasLeft && nempty(fromTarget) -> fromTarget ? ANSWER; state = DONE }
  :: atomic {
       state == SENDING && hasLeft ->
#ifdef BREAK_RESEND
       state = ACCEPTED
#else
       state = UNKNOWN
#endif
     }
  /* The ledger fills up, and has room again. */
  :: atomic { !isFull && state == UNSEEN -> isFull = true }
  :: atomic { isFull -> isFull = false }
  /* The prefix expires; an ended call is forgotten after that. */
  :: atomic { !isExpired -> isExpired = true }
  :: atomic {
       isExpired && (state == DONE || state == UNKNOWN || state == CLOSED) -> state = UNSEEN
     }
  /* The process dies with all that it knows; what it has sent goes on. */
  :: atomic {
       !hasDied -> hasDied = true; state = UNSEEN; hasLeft = false; tries = 0; closedUnseen = false
     }
  od
}
