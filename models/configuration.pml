/*
 * Model of the replication of the configuration: conditional writes by operators, copies in the
 * daemons, watches by relays, and fetches between daemons.
 *
 * Bounds: OPERATORS operators that apply one change each; DAEMONS daemons, of which the first RELAYS
 * watch the platform; one restart, one late write, any number of lost answers, failed fetches and
 * damaged fetches. Each daemon has at most one fetch and one watch in flight. Outages, partitions
 * and pauses need no steps of their own: any step may be delayed for any time.
 *
 * A change sets two of three rows. A value records the ids of the changes it contains, like the
 * change records in the stored object. A restarted daemon has either no copy or any copy that it
 * held before, and answers to its earlier process are lost. Update packets, which only start a fetch
 * earlier, and the memory of complete fetches, which only delays a fetch, are not modelled.
 *
 * Steps and the code that they model:
 *   PUT, read-back   PlatformClient.writeObject in src/core/object-api
 *   accept           applyDocument in src/core/documents/document-store.ts and
 *                    updateStoredDocument in src/core/documents/stored-document.ts
 *   watcher          watchKind in src/core/relay/watch-kind.ts
 *   fetcher          handleDigest and runFetch in src/core/documents/document-sync.ts
 *   KNOWS_DIGEST     hasNothingNew in src/core/documents/digest-cache.ts, for own digests
 *   encoding         encodeForPeer in src/core/documents/stored-document.ts
 *
 * Properties (I10): no daemon replaces its copy with an older one; every value that a reader
 * sees was accepted as a whole; each change takes effect at most once, and takes effect if and only
 * if its operator got that answer; all daemons hold every accepted change when no more steps are
 * possible.
 *
 * run: pass
 * run: fail BREAK_VERSION     a copy may be replaced with an older one
 * run: fail BREAK_STEP        a request reads a copy while its rows are replaced
 * run: fail BREAK_BASE        rows are applied to a version other than their base, without a hash check
 * run: fail BREAK_HASH        a damaged answer is accepted
 * run: fail BREAK_CONDITION   the platform ignores the base version of a write
 * run: fail BREAK_READ_BACK   a write whose answer was lost is repeated without reading the object first
 * run: fail BREAK_DIGEST      a restarted daemon keeps the digests of its earlier process
 */
#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef RELAYS
#define RELAYS 1
#endif
#ifndef OPERATORS
#define OPERATORS 2
#endif
#define VERSIONS 5
#define DAMAGED 9

#define BIT(value) (1 << (value))
#define HOLDS(set, value) ((set) & BIT(value))

mtype = { PENDING, ACCEPTED, REFUSED };

/* Values stored by the platform, by version; version 1 is the first configuration. */
typedef Value {
  byte row[3];
  byte changes;
};
Value value[VERSIONS];
byte newest = 1;
byte applied[OPERATORS];
mtype reportedOutcome[OPERATORS] = PENDING;

/* A write that its operator no longer waits for and that may still arrive. */
byte lateBase;
byte lateOperator;
bool hadLateWrite;

/* State of a daemon; version 0 means no copy. */
typedef Daemon {
  byte version;
  byte row[3];
  /* Versions that this process has held: usable as bases of differences, and as own digests. */
  byte known;
#ifdef BREAK_DIGEST
  byte digests;
#endif
  /* Answers in flight; 0 means none. */
  byte fetchBase;
  byte fetched;
  byte watched;
  /* Version of the last answered watch. */
  byte since;
};
Daemon daemon[DAEMONS];

#define IS_WHOLE(d) \
  (daemon[d].version == 0 || \
   (daemon[d].row[0] == value[daemon[d].version].row[0] && \
    daemon[d].row[1] == value[daemon[d].version].row[1] && \
    daemon[d].row[2] == value[daemon[d].version].row[2]))

#ifdef BREAK_DIGEST
#define KNOWS_DIGEST(d, version) HOLDS(daemon[d].digests, version)
#else
#define KNOWS_DIGEST(d, version) HOLDS(daemon[d].known, version)
#endif

#ifdef BREAK_VERSION
#define IS_NEWER(target, held) ((target) != (held))
#else
#define IS_NEWER(target, held) ((target) > (held))
#endif

/* Operator o sets rows o and o + 1, modulo 3. */
#define SETS(o, r) (r == (o) % 3 || r == ((o) + 1) % 3)
#define NEXT(o, base, r) (SETS(o, r) -> (o) + 1 : value[base].row[r])

#ifdef BREAK_CONDITION
#define IS_CURRENT(base) (base > 0)
#else
#define IS_CURRENT(base) (newest == base)
#endif

/* A conditional write arrives at the platform and takes effect if its base is current. */
inline write(o, base) {
  if
  :: IS_CURRENT(base) ->
    newest++;
    value[newest].row[0] = NEXT(o, base, 0);
    value[newest].row[1] = NEXT(o, base, 1);
    value[newest].row[2] = NEXT(o, base, 2);
    value[newest].changes = value[base].changes | BIT(o);
    applied[o]++;
    assert(applied[o] == 1)
  :: else
  fi
}

proctype operator(byte o) {
  byte base;
  bool isAnswered;

  base = newest;
PUT:
  isAnswered = false;
  if
  :: atomic { true -> write(o, base); isAnswered = true }
  :: atomic { true -> write(o, base) } /* The answer is lost. */
  :: true /* The write is lost. */
  :: atomic { !hadLateWrite -> hadLateWrite = true; lateBase = base; lateOperator = o }
  fi;
#ifdef BREAK_READ_BACK
  atomic {
    if
    :: isAnswered
    :: !isAnswered -> base = newest; goto PUT
    fi
  }
#endif
  atomic {
    /* An answer contains the outcome; without an answer, the object is read back. */
    if
    :: isAnswered -> reportedOutcome[o] = (applied[o] == 1 -> ACCEPTED : REFUSED)
    :: !isAnswered && HOLDS(value[newest].changes, o) -> reportedOutcome[o] = ACCEPTED
    :: !isAnswered && !HOLDS(value[newest].changes, o) && newest == base -> goto PUT
    :: !isAnswered && !HOLDS(value[newest].changes, o) && newest != base ->
      reportedOutcome[o] = REFUSED
    fi
  }
}

/* A late write arrives at any time. */
proctype network() {
end:
  atomic { lateBase > 0 -> write(lateOperator, lateBase); lateBase = 0 }
}

/* A difference replaces the changed rows of its base; a whole value replaces all rows. */
#ifdef BREAK_BASE
#define BASE_ROW(d, base, r) daemon[d].row[r]
#else
#define BASE_ROW(d, base, r) value[base].row[r]
#endif
#define BUILT(d, base, target, r) \
  ((base > 0 && value[base].row[r] == value[target].row[r]) -> BASE_ROW(d, base, r) : value[target].row[r])

#if defined(BREAK_BASE) || defined(BREAK_HASH)
#define HAS_HASH(isDamaged) true
#else
#define HAS_HASH(isDamaged) (!isDamaged)
#endif

/* A request reads the copy between two event-loop steps of the daemon. */
#define READ(d) assert(IS_WHOLE(d))
#ifdef BREAK_STEP
#define READ_WITHIN(d) READ(d)
#else
#define READ_WITHIN(d) skip
#endif

/* Accepts a received document if it is newer than the copy and its hash is correct. */
inline accept(d, base, target, isDamaged) {
  if
  :: IS_NEWER(target, daemon[d].version) && HAS_HASH(isDamaged) ->
    assert(target > daemon[d].version);
    daemon[d].row[0] = (isDamaged -> DAMAGED : BUILT(d, base, target, 0));
    READ_WITHIN(d);
    daemon[d].row[1] = BUILT(d, base, target, 1);
    daemon[d].row[2] = BUILT(d, base, target, 2);
    daemon[d].version = target;
    daemon[d].known = daemon[d].known | BIT(target);
#ifdef BREAK_DIGEST
    daemon[d].digests = daemon[d].digests | BIT(target);
#endif
    READ(d)
  :: else
  fi
}

/* A relay watches from version 0 after its start, and from the last received version afterwards. */
proctype watcher(byte d) {
end:
  do
  :: atomic {
      daemon[d].watched == 0 && daemon[d].since < newest -> daemon[d].watched = newest
    }
  :: atomic {
      daemon[d].watched > 0 ->
      accept(d, 0, daemon[d].watched, false);
      daemon[d].since = daemon[d].watched;
      daemon[d].watched = 0
    }
  od
}

/* The peer sends a difference if it has held the caller's version, and the whole value otherwise. */
inline fetch(d, peer) {
  daemon[d].fetched = daemon[peer].version;
  if
  :: daemon[d].version > 0 && HOLDS(daemon[peer].known, daemon[d].version) ->
    daemon[d].fetchBase = daemon[d].version
  :: else
  fi
}

#define IS_ASKED(d, peer) \
  (daemon[d].fetched == 0 && daemon[peer].version > 0 && !KNOWS_DIGEST(d, daemon[peer].version))

/* A daemon fetches from a peer whose digest differs and is not one of its own. */
proctype fetcher(byte d) {
end:
  do
  :: atomic { IS_ASKED(d, 0) -> fetch(d, 0) }
  :: atomic { IS_ASKED(d, 1) -> fetch(d, 1) }
#if DAEMONS > 2
  :: atomic { IS_ASKED(d, 2) -> fetch(d, 2) }
#endif
  :: atomic {
      daemon[d].fetched > 0 ->
      /* A damaged answer is refused, which has the same effect as a lost one. */
      if
      :: true -> accept(d, daemon[d].fetchBase, daemon[d].fetched, false)
      :: true -> accept(d, daemon[d].fetchBase, daemon[d].fetched, true)
      fi;
      daemon[d].fetchBase = 0;
      daemon[d].fetched = 0
    }
  od
}

/* A daemon restarts with no copy or with an old one; answers in flight are lost. */
proctype restart() {
  byte d;
  byte old;

  atomic {
    select(d : 0 .. DAEMONS - 1);
    select(old : 0 .. OPERATORS + 1);
    if
    :: HOLDS(daemon[d].known, old) ->
      daemon[d].version = old;
      daemon[d].row[0] = value[old].row[0];
      daemon[d].row[1] = value[old].row[1];
      daemon[d].row[2] = value[old].row[2];
      daemon[d].known = BIT(0) | BIT(old);
      daemon[d].fetchBase = 0;
      daemon[d].fetched = 0;
      daemon[d].watched = 0;
      daemon[d].since = 0
    :: else
    fi
  }
}

/* Checks the final state, when no other process can make a step. */
proctype checker() {
  byte index;

  timeout;
  atomic {
    for (index : 0 .. DAEMONS - 1) {
      assert(daemon[index].version == newest)
    }
    for (index : 0 .. OPERATORS - 1) {
      assert(reportedOutcome[index] != PENDING);
      assert((reportedOutcome[index] == ACCEPTED) == (applied[index] == 1));
      assert((reportedOutcome[index] == ACCEPTED) == (HOLDS(value[newest].changes, index) != 0))
    }
  }
}

init {
  byte index;

  atomic {
    for (index : 0 .. DAEMONS - 1) {
      run fetcher(index);
#ifdef BREAK_DIGEST
      daemon[index].digests = BIT(0);
#endif
      daemon[index].known = BIT(0)
    }
    for (index : 0 .. RELAYS - 1) {
      run watcher(index)
    }
    for (index : 0 .. OPERATORS - 1) {
      run operator(index)
    }
    run network();
    run restart();
    run checker()
  }
}
