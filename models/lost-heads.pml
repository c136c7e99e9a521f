/*
 * Model of a group whose head neither the store nor any leader reaches, although it is open: when its member
 * may join another group.
 *
 * Bounds: one member, two leaders, and one group that each leader forms with the member. An order is carried
 * out and answered at once, or gets no response and is carried out once at any later time, or never. One such
 * order to join the first group is under way from the start. The entry shows the member's group late. The
 * second leader has followed the entries and takes over at any time; the first one may then still send one
 * order, which is late. The head breaks at some time after it has lost its member; a leader that has waited for
 * the stall time since the entry showed the member without a group knows that it has.
 *
 * Steps and the code that they model:
 *   LEAVE    closeGroupWithoutHeadEntry in src/core/formation/start-formation.ts
 *   WAIT     isRecent in src/core/formation/departures.ts
 *   ASK      listUnavailableIds in src/core/formation/group-operations.ts
 *   JOIN     sendOrderWithRetries in the same file
 *   carryOut the engine
 *
 * Property: the member joins no other group while the head is open, whether or not it has left (rule TWO).
 *
 * run: pass
 * run: fail BREAK_LEAVE   a head that does not respond counts as dead, so that its member joins another group
 * run: fail BREAK_WAIT    a member that has left is used at once: a late join may bring it back
 * run: fail BREAK_FOLLOW  the second leader has not seen the member leave
 */
#define FIRST_GROUP 1
#define GROUP_OF(id) ((id) + 2)
#define GROUPS 4

byte groupOf = FIRST_GROUP;
byte seenEpoch = FIRST_GROUP;
byte entryGroup = FIRST_GROUP;
bool isHeadOpen = true;
bool hasLostMember = false;

bool lateJoin[GROUPS];
bool lateLeave = false;

byte leader = 0;

inline carryOutJoin(group) {
  if
  :: group < seenEpoch || groupOf == group -> skip
  :: else ->
     assert(group == FIRST_GROUP || !isHeadOpen);
     if
     :: groupOf == FIRST_GROUP -> hasLostMember = true
     :: else
     fi;
     groupOf = group; seenEpoch = group
  fi
}

inline carryOutLeave() {
  if
  :: groupOf == FIRST_GROUP -> groupOf = 0; hasLostMember = true
  :: else
  fi
}

proctype Leader(byte id) {
  bool hasSeenGroup = false;

#ifdef BREAK_FOLLOW
  if
  :: id == 0 -> hasSeenGroup = true
  :: else
  fi;
#else
  hasSeenGroup = true;
#endif
endWaiting:
  leader == id;

end:
  do
#ifdef BREAK_LEAVE
  :: goto join
#endif

  /* LEAVE */
  :: atomic { leader == id && entryGroup == FIRST_GROUP ->
       if
       :: carryOutLeave()
       :: lateLeave = true
       fi;
       hasSeenGroup = true }

  /* WAIT */
  :: entryGroup == 0 ->
#ifndef BREAK_WAIT
     if
     :: hasSeenGroup -> !isHeadOpen
     :: else
     fi;
#endif

  /* ASK */
     if
     :: groupOf == 0
     :: else -> goto next
     fi;

  /* JOIN */
join:
     atomic {
       if
       :: leader == id -> carryOutJoin(GROUP_OF(id))
       :: lateJoin[GROUP_OF(id)] = true
       fi;
       if
       :: leader != id -> goto stopped
       :: else
       fi }
next:
     skip
  :: atomic { leader != id -> lateLeave = true; goto stopped }
  od;
stopped:
  skip
}

proctype Network() {
end:
  do
  :: atomic { lateJoin[1] -> lateJoin[1] = false; carryOutJoin(1) }
  :: atomic { lateJoin[2] -> lateJoin[2] = false; carryOutJoin(2) }
  :: atomic { lateJoin[3] -> lateJoin[3] = false; carryOutJoin(3) }
  :: atomic { lateLeave -> lateLeave = false; carryOutLeave() }
  :: atomic { entryGroup != groupOf -> entryGroup = groupOf }
  :: atomic { hasLostMember && isHeadOpen -> isHeadOpen = false }
  od
}

init {
  atomic {
    lateJoin[FIRST_GROUP] = true;
    run Leader(0);
    run Leader(1);
    run Network()
  }
  atomic { leader = 1 }
}
