/*
 * A group of instances that no relay serves, and that take turns in listing the
 * store. Some are rejected by the store, and one answers nobody; the others, which
 * the store serves, need a view that is newer than the last drop of the history.
 *
 * Time goes in ticks of half a step. Two ranks have their turn at once, two more
 * with each step. A listing takes a tick. Those whose turn has not come ask, in
 * any order, those that have had it; one that answers nobody is waited for, for
 * WAIT ticks. Switches (-D):
 *
 *   TURNS=1     an instance lists in its turn; 0: at once
 *   GROWS=1     further instances have their turn; 0: the first two only
 *
 * Judged:
 *   P1  an instance that the store serves all the time has a view WITHIN ticks
 *       after the drop
 *   P2  no more than two listings are made at a time
 */
#define GROUP 5
#define WAIT 2
#define WITHIN 10
#define END 14

#define SERVED 0
#define REJECTED 1
#define LOST 2

byte now = 0;
byte kind[GROUP];
bit current[GROUP];    /* has a view newer than the drop */
bit replica[GROUP];    /* can serve it */
bit listing[GROUP];
byte waits[GROUP];     /* ticks until the answer is given up */
bit given_up[GROUP];   /* does not ask the one that is lost again */
byte dropped_at = 0;
bit dropped_twice = 0;
bit troubled = 0;
byte in_flight = 0;
byte admitted;
byte i;
byte j;

inline count_admitted() {
  admitted = 2;
  if
  :: GROWS == 1 -> admitted = 2 + 2 * ((now - dropped_at) / 2)
  :: else
  fi;
  if
  :: admitted > GROUP -> admitted = GROUP
  :: else
  fi
}

/* Ends listings that were begun a tick before. */
inline end_listings() {
  i = 0;
  do
  :: i < GROUP ->
     if
     :: listing[i] ->
        listing[i] = 0; in_flight--; current[i] = 1; replica[i] = 1
     :: else
     fi;
     if
     :: waits[i] > 0 -> waits[i]--
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* Asks those before `admitted`, beginning with any. */
inline ask() {
  j = 0;
  do
  :: j < admitted && replica[j] -> current[i] = 1; break
  :: j < admitted && kind[j] == LOST && !given_up[i] ->
     waits[i] = WAIT; given_up[i] = 1; break
  :: j < admitted -> j++
  :: j >= admitted -> break
  od
}

active proctype group() {
  atomic {
  /* What befalls them before. At least one is served. */
  i = 0;
  do
  :: i < GROUP - 1 ->
     if
     :: kind[i] = SERVED
     :: kind[i] = REJECTED
     :: !troubled -> kind[i] = LOST; troubled = 1
     fi;
     i++
  :: else -> break
  od;
  do
  :: now < END ->
     end_listings();
     if
     :: skip
     :: !dropped_twice && now > 0 && now < 4 ->
        /* The history goes once more: views and replicas are old again. */
        dropped_twice = 1; dropped_at = now;
        i = 0;
        do
        :: i < GROUP -> current[i] = 0; replica[i] = 0; i++
        :: else -> break
        od
     fi;
     count_admitted();
     i = 0;
     do
     :: i < GROUP ->
        if
        :: current[i] || waits[i] > 0 || kind[i] == LOST
        :: else ->
           if
           :: i < admitted || TURNS == 0 ->
              if
              :: kind[i] == SERVED -> listing[i] = 1; in_flight++
              :: else
              fi
           :: else -> ask()
           fi
        fi;
        i++
     :: else -> break
     od;
     assert(in_flight <= 2);
     if
     :: now - dropped_at >= WITHIN ->
        i = 0;
        do
        :: i < GROUP -> assert(current[i] || kind[i] != SERVED); i++
        :: else -> break
        od
     :: else
     fi;
     now++
  :: else -> break
  od
  }
}
