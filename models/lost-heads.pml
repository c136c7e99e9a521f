/*
 * Model of a group whose head neither the store nor any leader reaches, although it is open: when its member
 * may join another group.
 *
 * Bounds: one member, two leaders, and one group that each leader forms with the member. An order is carried
 * out and answered at once, or gets no response and is carried out once at any later time, or never. The entry
 * shows the member's group late, or none after a restoration of the store from a copy. The second leader takes
 * over at any time and knows only what the entry and the member say; the first one may then still send one
 * order, which is late.
 *
 * Steps and the code that they model:
 *   LEAVE    closeGroupWithoutHeadEntry in src/core/formation/start-formation.ts
 *   ASK      listUnavailableIds in src/core/formation/group-operations.ts
 *   JOIN     joinHead and joinOthers in the same file
 *   carryOut the engine
 *
 * Left out: groups whose orders to join were repeated. Their members are used when the head has broken.
 *
 * Property: the member joins no other group while it is a member of the open one (rule TWO).
 *
 * run: pass
 * run: fail BREAK_LEAVE   a head that does not respond counts as dead, so that its member joins another group
 * run: fail BREAK_REPEAT  an order to join the open group is under way, as it was repeated
 * run: fail BREAK_ASK     the member is joined by its entry alone
 */
#define FIRST_GROUP 1
#define GROUP_OF(id) ((id) + 2)
#define GROUPS 4

byte groupOf = FIRST_GROUP;
byte seenEpoch = FIRST_GROUP;
byte entryGroup = FIRST_GROUP;

bool lateJoin[GROUPS];
bool lateLeave = false;

byte leader = 0;

inline carryOutJoin(group) {
  if
  :: group < seenEpoch || groupOf == group -> skip
  :: else ->
     assert(group == FIRST_GROUP || groupOf != FIRST_GROUP);
     groupOf = group; seenEpoch = group
  fi
}

inline carryOutLeave() {
  if
  :: groupOf == FIRST_GROUP -> groupOf = 0
  :: else
  fi
}

proctype Leader(byte id) {
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
       fi }

  /* ASK */
  :: entryGroup == 0 ->
#ifndef BREAK_ASK
     if
     :: groupOf == 0
     :: else -> goto next
     fi;
#endif

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
  :: atomic { entryGroup != 0 -> entryGroup = 0 }
  od
}

init {
  atomic {
#ifdef BREAK_REPEAT
    lateJoin[FIRST_GROUP] = true;
#endif
    run Leader(0);
    run Leader(1);
    run Network()
  }
  atomic { leader = 1 }
}
