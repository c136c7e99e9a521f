/*
 * Model of a non-idempotent call: one request id, the daemon that owns it, another daemon, a caller
 * that retries through both, and a target.
 *
 * Bounds: one request id; MAX_MESSAGES orders and lookups from the caller, sent without waiting for
 * answers, each directly to the owner or through the other daemon; MAX_TRIES attempts of the
 * owner to connect to a target. Messages between caller, daemons and owner, and their answers, may
 * be lost, reordered or delayed for any time. The owner may crash once, at any step; its next
 * incarnation has no state. The prefix of the id may expire at any step. The ledger may be full at
 * any time before the first message with the id arrives.
 * Timeouts are not modelled: any wait may end at any moment.
 *
 * Steps and the code that they model:
 *   ORDER, LOOKUP      CallRouter.runCall, lookUpCall; handleForwardCall, handleLookupCall
 *                      (src/core/calls/call-router.ts)
 *   state transitions  applyCallEvent (src/core/calls/call-state.ts)
 *   expired, full      CallLedger.checkId, closeUnrecordedIds (src/core/calls/call-ledger.ts)
 *   connect, send      runAtTargets (src/core/calls/call-owner.ts), sendCall
 *                      (src/core/calls/send-call.ts) and openSingleUseConnection
 *                      (src/core/targets/service-client.ts)
 *   askOwner           the other daemon answers unknown when the owner does not answer
 *                      (src/core/calls/call-router.ts)
 *
 * Properties: the target runs the call at most once (I7), and no answer says not-run for a call that
 * has run or will run (I6).
 *
 * run: pass
 * run: fail BREAK_RESEND    the owner sends again after a byte may have been sent
 * run: fail BREAK_LOOKUP    a lookup of an id that was never seen does not close the id
 * run: fail BREAK_FORWARD   another daemon runs the call when the owner does not answer
 * run: fail BREAK_EXPIRY    an expired id is treated as never seen
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

/* Messages to the owner, received in any order; they survive a restart of the owner. */
chan toOwner = [MAX_MESSAGES] of { mtype };
/* Calls whose first byte has been sent, and the answers to them. */
chan toTarget = [MAX_MESSAGES] of { mtype };
chan fromTarget = [MAX_MESSAGES] of { mtype };

mtype state = UNSEEN;
bool mayHaveSent;
byte tries;
byte messages;
byte runs;
bool answeredNotRun;
bool isExpired;
bool isFull;
bool closedUnseen;
bool hasDied;

/* The target runs every call that reaches it. */
inline runCall() {
  runs++;
  assert(runs <= 1);
  assert(!answeredNotRun)
}

inline answerNotRun() {
  answeredNotRun = true;
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
       :: skip                       /* the message is lost; the caller may send again */
       fi
     }
  :: break
  od
}

/* Forwards to the owner, and answers unknown when the owner does not answer, because the owner may
   have received the message. */
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
       :: skip                       /* the call is lost after a byte was sent */
       fi
     }
  od
}

active proctype Owner() {
end:
  do
  /* A call arrives, from the caller or forwarded. Where answerNotRun is not used, the answer is unknown
     or the stored result, or is sent later. */
  :: atomic {
       toOwner ?? ORDER ->
       if
       :: IS_OTHER_INCARNATION || IS_EXPIRED -> skip
       :: else ->
          if
          :: state == UNSEEN && closedUnseen -> answerNotRun()
          :: state == UNSEEN && !closedUnseen && isFull ->
#ifndef BREAK_FULL
             closedUnseen = true;
#endif
             answerNotRun()
          :: state == UNSEEN && !closedUnseen && !isFull -> state = ACCEPTED
          :: state == CLOSED -> answerNotRun()
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
             answerNotRun()
          :: state == CLOSED -> answerNotRun()
          :: else -> skip
          fi
       fi
     }
  /* Refused by a limit or the queue, or no target was reachable: no byte has been sent. */
  :: atomic { state == ACCEPTED -> state = CLOSED; answerNotRun() }
  /* Connect to a target. */
  :: atomic {
       state == ACCEPTED && tries < MAX_TRIES -> tries++; state = SENDING; mayHaveSent = false
     }
  /* The connection was never established. */
  :: atomic { state == SENDING && !mayHaveSent -> state = ACCEPTED }
  /* The connection is established: a byte may have been sent. */
  :: atomic { state == SENDING && !mayHaveSent -> mayHaveSent = true; toTarget ! CALL }
  /* The answer arrives, or waiting for it ends without one. */
  :: atomic { state == SENDING && mayHaveSent && nempty(fromTarget) -> fromTarget ? ANSWER; state = DONE }
  :: atomic {
       state == SENDING && mayHaveSent ->
#ifdef BREAK_RESEND
       state = ACCEPTED
#else
       state = UNKNOWN
#endif
     }
  /* The ledger becomes full, or has room again. */
  :: atomic { !isFull && state == UNSEEN -> isFull = true }
  :: atomic { isFull -> isFull = false }
  /* The prefix expires; finished calls are removed from the ledger after that. */
  :: atomic { !isExpired -> isExpired = true }
  :: atomic {
       isExpired && (state == DONE || state == UNKNOWN || state == CLOSED) -> state = UNSEEN
     }
  /* The owner crashes and loses its state; messages that it has sent are still delivered. */
  :: atomic {
       !hasDied -> hasDied = true; state = UNSEEN; mayHaveSent = false; tries = 0; closedUnseen = false
     }
  od
}
