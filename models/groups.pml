/*
 * Model of groups of engines under two leaders: orders that are carried out late, and the moment at which an
 * engine may join another group.
 *
 * Bounds: two engines, which form each group in either order; two epochs of the first leader and one of the
 * second. An order is carried out and answered at once, or gets no response and is carried out once at any
 * later time, or never. The second leader takes over at any time and knows only what engines say; the first
 * one may then still send one order, which is late. The state joining and the time to open are left out: they
 * only make an engine ready or open later. Orders to close and to leave are not late: they affect only a group
 * that is being ended.
 *
 * Steps and the code that they model:
 *   ASK      listUnavailableIds in src/core/formation/group-operations.ts
 *   JOIN     joinHead, then joinOthers, in the same file
 *   RELEASE  closeGroup and releaseHead in the same file; hasEnded in head-registry.ts
 *   carryOut the engine
 *
 * Property: no engine joins a group while the head of its own group is open (rule TWO).
 *
 * run: pass
 * run: fail BREAK_LEAVE   a group ends when its head does not serve it, although the head is still a member
 * run: fail BREAK_REPEAT  the order to join the head is repeated with the same epoch
 * run: fail BREAK_NAME    a leader takes the groups of the other one for ended, as it does not know their heads
 */
#define ENGINES 2
/* Epochs 1 and 2 are those of the first leader, epoch 3 is that of the second. */
#define EPOCHS 4
#define FIRST_EPOCH(id) ((id) * 2 + 1)
#define LAST_EPOCH(id) ((id) + 2)

#define INDEX(engine, epoch) ((engine) * EPOCHS + (epoch))

byte epochOf[ENGINES];
byte seenEpoch[ENGINES];
bool isOpen[ENGINES];
byte headOf[EPOCHS];

bool lateJoin[8];
bool lateOpen[8];

byte leader;

#define IS_GROUP_OPEN(epoch) (epochOf[headOf[epoch]] == (epoch) && isOpen[headOf[epoch]])

inline carryOutJoin(engine, epoch) {
  if
  :: epoch < seenEpoch[engine] || epochOf[engine] == epoch -> skip
  :: else ->
     assert(epochOf[engine] == 0 || !IS_GROUP_OPEN(epochOf[engine]));
     epochOf[engine] = epoch; seenEpoch[engine] = epoch; isOpen[engine] = false
  fi
}

inline carryOutOpen(engine, epoch) {
  if
  :: epochOf[engine] == epoch && headOf[epoch] == engine -> isOpen[engine] = true
  :: else
  fi
}

inline carryOutClose(engine, epoch) {
  if
  :: epochOf[engine] == epoch -> isOpen[engine] = false
  :: else
  fi
}

inline carryOutLeave(engine, epoch) {
  if
  :: epochOf[engine] == epoch -> epochOf[engine] = 0; isOpen[engine] = false
  :: else
  fi
}

/* Sends an order; `isAnswered` tells whether it got a response. A leader that was replaced sends its last one. */
#define SEND(carryOut, late, engine, epoch) \
  if \
  :: leader == id -> carryOut(engine, epoch); isAnswered = true \
  :: late[INDEX(engine, epoch)] = true; isAnswered = false; \
     if \
     :: leader != id -> goto stopped \
     :: else \
     fi \
  fi

proctype Leader(byte id) {
  byte epoch, head, other, group;
  bool isAnswered;
  byte nextEpoch = FIRST_EPOCH(id);
  bool hasEnded[EPOCHS];

  leader == id;
#ifdef BREAK_NAME
  atomic {
    if
    :: id == 0 -> hasEnded[3] = true
    :: else -> hasEnded[1] = true; hasEnded[2] = true
    fi }
#endif

end:
  do
  /* ASK */
  :: atomic { leader == id ->
       if :: head = 0 :: head = 1 fi;
       other = 1 - head;
       group = epochOf[head];
       if
       :: group == 0 || hasEnded[group] -> group = epochOf[other]
       :: else
       fi }
     if
     :: atomic { group != 0 && !hasEnded[group] -> goto release }
     :: else
     fi;

  /* JOIN */
joinHead:
     atomic {
       if
       :: nextEpoch > LAST_EPOCH(id) -> goto stopped
       :: else -> epoch = nextEpoch; nextEpoch++; headOf[epoch] = head
       fi }
#ifdef BREAK_REPEAT
repeatJoin:
#endif
     atomic { SEND(carryOutJoin, lateJoin, head, epoch) }
     if
     :: isAnswered && epochOf[head] == epoch
#ifdef BREAK_REPEAT
     :: !isAnswered -> goto repeatJoin
#else
     :: !isAnswered -> goto joinHead
#endif
     :: else -> goto next
     fi;
joinOther:
     atomic { SEND(carryOutJoin, lateJoin, other, epoch) }
     if
     :: isAnswered && epochOf[other] == epoch
     :: !isAnswered -> goto joinOther
     :: else -> goto next
     fi;
openHead:
     atomic { SEND(carryOutOpen, lateOpen, head, epoch) }
     if
     :: !isAnswered -> goto openHead
     :: goto next
     fi;

  /* RELEASE */
release:
     if
     :: atomic { epochOf[headOf[group]] != group -> hasEnded[group] = true; goto next }
     :: else
     fi;
     atomic {
       leader == id ->
       if
       :: true -> carryOutClose(headOf[group], group)
       :: skip
       fi }
#ifdef BREAK_LEAVE
     if
     :: atomic { !IS_GROUP_OPEN(group) -> hasEnded[group] = true }
     :: else
     fi;
#else
     atomic {
       leader == id ->
       if
       :: true -> carryOutLeave(headOf[group], group); hasEnded[group] = true
       :: true -> carryOutLeave(headOf[group], group)
       :: skip
       fi }
#endif
next:
     atomic { epoch = 0; head = 0; other = 0; group = 0; isAnswered = false }
  od;
stopped:
  skip
}

proctype Network() {
  byte engine, epoch;
end:
  do
  :: atomic {
       if :: engine = 0 :: engine = 1 fi;
       if :: epoch = 1 :: epoch = 2 :: epoch = 3 fi;
       if
       :: lateJoin[INDEX(engine, epoch)] ->
          lateJoin[INDEX(engine, epoch)] = false; carryOutJoin(engine, epoch)
       :: lateOpen[INDEX(engine, epoch)] ->
          lateOpen[INDEX(engine, epoch)] = false; carryOutOpen(engine, epoch)
       :: else
       fi;
       engine = 0; epoch = 0 }
  od
}

init {
  atomic {
    run Leader(0);
    run Leader(1);
    run Network()
  }
  atomic { leader = 1 }
}
