/*
 * Model of the reports of usage while their holder changes and the store loses its latest changes.
 *
 * Bounds: one usage window that is due, two gateways that know different counts of it, SWITCHES
 * changes of the holder, RESTORES restorations of the store from one copy, STEPS steps of each
 * gateway. Answers of the store and of the platform may be lost; a gateway may stop between any two
 * steps for any time. A write to the store and a call to the platform end before the next holder
 * acts: the lease, its margin and the wait of a new holder see to that. With LATE_WRITES, a write may
 * arrive later than that, and the store is not restored.
 *
 * Steps and the code that they model:
 *   READ    readRecord in src/core/duties/usage-reporter.ts, buildRestoredRecord in usage-record.ts
 *   FIX     fixWindows in src/core/duties/usage-reporter.ts
 *   SEND    sendWindows there, and sendOnce in src/core/duties/duty-calls.ts
 *
 * Properties: the platform never accepts two different counts of the window, and sees no token that
 * is lower than one before.
 *
 * run: pass
 * run: pass LATE_WRITES
 * run: fail BREAK_FIX      counts are sent without being fixed in the store
 * run: fail BREAK_ACK      a write whose answer was lost counts as written
 * run: fail BREAK_ERA      a record from before a restoration is used like any other
 * run: fail BREAK_CHECK    the holder is not checked right before a call
 * run: fail LATE_WRITES BREAK_REVISION   a write does not depend on the revision that was read
 */
#define SWITCHES 3
#define STEPS 3

#ifdef LATE_WRITES
#define RESTORES 0
#define MAY_WRITE(id) true
#else
#define RESTORES 2
#define MAY_WRITE(id) (holder == id && token == ownToken)
#endif

/* Counts of the window in the store: not fixed, those of gateway 0 or 1, given up. */
#define NONE 0
#define GIVEN_UP 3
#define COUNTS(id) (id + 1)
#define IS_COUNTS(value) (value == 1 || value == 2)

/* The stored record; in the beginning one of an earlier window. */
byte stored = NONE;
byte storedEra = 1;
byte revision = 1;
byte era = 1;

byte holder = 0;
byte token = 1;

/* The platform. */
byte accepted = NONE;
byte highestToken;

#ifdef BREAK_CHECK
#define MAY_CALL(id) true
#else
#define MAY_CALL(id) (holder == id && token == ownToken)
#endif

inline accept(counts) {
  assert(accepted == NONE || accepted == counts);
  accepted = counts;
  assert(ownToken >= highestToken);
  highestToken = ownToken;
}

proctype Gateway(byte id) {
  byte steps, ownToken, readCounts, readEra, readRevision, next, known;
  byte memory = NONE;
  bool isRestored, isWritten;

  do
  :: atomic {
      steps < STEPS && holder == id ->
      /* READ */
      steps++;
      known = NONE;
      isWritten = false;
      ownToken = token;
      readCounts = stored;
      readRevision = revision;
      readEra = era;
#ifdef BREAK_ERA
      isRestored = false;
#else
      isRestored = (storedEra != era);
#endif
    }
    if
    :: readCounts != NONE -> next = readCounts
    :: readCounts == NONE && !isRestored -> next = COUNTS(id)
    :: readCounts == NONE && isRestored && memory != NONE -> next = memory
    :: readCounts == NONE && isRestored && memory == NONE -> next = GIVEN_UP
    fi;
#ifdef BREAK_FIX
    known = COUNTS(id);
#else
    if
    :: readCounts != NONE && !isRestored -> known = next
    :: else ->
      /* FIX */
      atomic {
        if
        :: MAY_WRITE(id) ->
          if
#ifdef BREAK_REVISION
          :: true ->
#else
          :: revision == readRevision ->
#endif
            stored = next;
            storedEra = readEra;
            revision++;
            isWritten = (era == readEra)
#ifndef BREAK_REVISION
          :: else -> skip
#endif
          fi
        :: else -> skip
        fi
      }
      if
      :: isWritten -> known = next
      :: true ->
        /* The answer is lost, or the write failed. */
#ifdef BREAK_ACK
        known = next
#else
        skip
#endif
      fi;
      if
      :: IS_COUNTS(known) -> memory = known
      :: else -> skip
      fi
    fi;
#endif
    /* SEND */
    atomic {
      if
      :: IS_COUNTS(known) && MAY_CALL(id) -> accept(known)
      :: true -> skip
      fi
    }
  :: true -> break
  od
}

proctype Lease() {
  byte switches;
  do
  :: switches < SWITCHES ->
    atomic {
      switches++;
      token++;
      if
      :: holder = 0
      :: holder = 1
      fi
    }
  :: true -> break
  od
}

proctype Store() {
  byte restores, copyStored, copyEra, copyRevision;
  atomic {
    copyStored = stored;
    copyEra = storedEra;
    copyRevision = revision;
  }
  do
  :: restores < RESTORES ->
    atomic {
      restores++;
      era++;
      stored = copyStored;
      storedEra = copyEra;
      revision = copyRevision;
    }
  :: true -> break
  od
}

init {
  atomic {
    run Gateway(0);
    run Gateway(1);
    run Lease();
    run Store();
  }
}
