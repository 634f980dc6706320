/*
 * One instance that follows the store through two relays, while the store
 * changes once, drops its history, and rejects some of them.
 *
 * Time goes in ticks of a quarter of a second. The second relay reads through
 * the first, and the store itself once that is stale. A relay may be lost, and
 * answers nothing then. The instance, `me`, is served by the store all the time.
 * It begins with a view of the moment, or 1.25 s after an outage of the store
 * that ended at 0 and swallowed its watch. Switches (-D):
 *
 *   NEWER=1   after a watch whose history is gone, a relay's snapshot must be
 *             newer than that watch
 *   BUDGET=1  a relay is waited for until the view is 1.8 s old; 0: each gets
 *             1.4 s to answer
 *   SAYS=1    a relay that the store rejects says so at once; 0: it keeps an
 *             asker of a snapshot for a second
 *   SKIPS=1   once the view is 1.8 s old, no second relay is asked, and none for
 *             a listing
 *
 * Judged:
 *   P1  a change is known two seconds after it, or three after the outage, and
 *       a quarter for what a tick rounds up
 */
#define FRESH 7       /* a relay serves changes */
#define SNAPSHOT 40   /* a relay serves snapshots */
#define VIEW 7        /* relays are asked */
#define WAIT 4        /* at a relay or the store */
#define TIMEOUT 6     /* of a relay */
#define LEAST 1       /* of a relay, with BUDGET */
#define END 26

/* Whether the relays have had their time. */
#define over() (SKIPS == 1 && view_age + LEAST > VIEW)

/* Steps of the instance. */
#define WATCH1 0
#define WATCH2 1
#define STORE 2
#define LIST1 3
#define LIST2 4
#define LIST 5

byte now = 0;
byte revision = 1;
byte changed_at = END;
byte history = 0;      /* watches from lower revisions fail */
byte due = 9;

/* Relays: what each has, how old that is, and what befell it. */
byte has[2];
byte age[2];
bit rejected[2];
bit lost[2];

byte view = 1;
byte view_age = 0;
byte gone_at = 0;      /* revision of the watch that failed; 0: none */
byte step = WATCH1;
byte wait = 0;         /* ticks until the step's relay is given up */
bit waiting = 0;
byte troubles = 0;     /* of relays */

inline relays_read() {
  if
  :: !rejected[0] && !lost[0] -> has[0] = revision; age[0] = 0
  :: else -> age[0] = (age[0] < 60 -> age[0] + 1 : 60)
  fi;
  if
  :: lost[1] -> age[1] = (age[1] < 60 -> age[1] + 1 : 60)
  :: !lost[1] && !lost[0] && age[0] <= FRESH ->
     has[1] = has[0]; age[1] = age[0]
  :: !lost[1] && (lost[0] || age[0] > FRESH) && !rejected[1] ->
     has[1] = revision; age[1] = 0
  :: else -> age[1] = (age[1] < 60 -> age[1] + 1 : 60)
  fi
}

inline take(r, a) {
  view = r; view_age = a; gone_at = 0; step = WATCH1; waiting = 0
}

/* Waits for a relay that does not answer, then goes on to `next`. */
inline give_up(ticks, next) {
  if
  :: !waiting -> waiting = 1; wait = ticks
  :: waiting && wait > 1 -> wait = wait - 1
  :: waiting && wait <= 1 -> waiting = 0; step = next; moved = 1
  fi
}

inline patience() {
  if
  :: BUDGET == 0 -> ticks = TIMEOUT
  :: BUDGET == 1 && view_age + LEAST >= VIEW -> ticks = LEAST
  :: BUDGET == 1 && view_age + LEAST < VIEW ->
     ticks = (VIEW - view_age < TIMEOUT -> VIEW - view_age : TIMEOUT)
  fi
}

inline ask_watch(i, next) {
  if
  :: lost[i] -> patience(); give_up(ticks, STORE)
  :: !lost[i] && age[i] <= FRESH && has[i] >= view ->
     view = has[i]; view_age = age[i]; waiting = 0; step = WATCH1
  :: !lost[i] && (age[i] > FRESH || has[i] < view) ->
     waiting = 0; step = next; moved = 1
  fi
}

inline ask_list(i, next) {
  if
  :: lost[i] -> patience(); give_up(ticks, next)
  :: !lost[i] && age[i] <= SNAPSHOT && has[i] >= view &&
     (NEWER == 0 || has[i] > gone_at) -> take(has[i], age[i])
  :: !lost[i] && age[i] > SNAPSHOT && SAYS == 0 -> give_up(WAIT, next)
  :: else -> waiting = 0; step = next; moved = 1
  fi
}

active proctype me() {
  bit moved;
  byte ticks;
  byte steps;
  /* What it begins with. */
  has[0] = 1;
  has[1] = 1;
  if
  :: skip
  :: step = LIST1; view_age = 5; now = 5; due = 13;
     if
     :: skip
     :: age[0] = 41; age[1] = 41; rejected[0] = 1; rejected[1] = 1
     fi
  fi;
  do
  :: now < END ->
     /* What befalls it. */
     if
     :: skip
     :: revision == 1 && now <= 14 -> revision = 2; changed_at = now;
        if
        :: due < now + 9 -> due = now + 9
        :: else
        fi;
        if
        :: skip
        :: history = 2
        fi
     fi;
     if
     :: skip
     :: troubles < 3 && now <= 16 && !rejected[0] -> rejected[0] = 1; troubles++
     :: troubles < 3 && now <= 16 && !rejected[1] -> rejected[1] = 1; troubles++
     :: troubles < 3 && now <= 16 && !lost[0] -> lost[0] = 1; troubles++
     :: troubles < 3 && now <= 16 && !lost[1] -> lost[1] = 1; troubles++
     fi;
     d_step {
     relays_read();
     /* What it does, as far as that takes no time. */
     moved = 1;
     steps = 0;
     do
     :: moved && steps < 8 ->
        moved = 0;
        steps = steps + 1;
        if
        :: step == WATCH1 -> ask_watch(0, WATCH2)
        :: step == WATCH2 && !waiting && over() -> step = STORE; moved = 1
        :: step == WATCH2 && !(!waiting && over()) -> ask_watch(1, STORE)
        :: step == STORE && view < history ->
           gone_at = view; step = LIST1; moved = 1
        :: step == STORE && view >= history -> take(revision, 0)
        :: (step == LIST1 || step == LIST2) && !waiting && over() ->
           step = LIST; moved = 1
        :: step == LIST1 && !(!waiting && over()) -> ask_list(0, LIST2)
        :: step == LIST2 && !(!waiting && over()) -> ask_list(1, LIST)
        :: step == LIST -> take(revision, 0)
        fi
     :: else -> break
     od;
     assert(view == revision || now <= due);
     now = now + 1;
     view_age = (view_age < 60 -> view_age + 1 : 60)
     }
  :: else -> break
  od
}
