/*
 * Lease, journal and orders for one engine and two holders.
 *
 * Time is not modelled; what the time bounds guarantee is. A slot is an order
 * on its connection: CHECKED between the holder's last check and its write,
 * WRITTEN until the engine reads it. The engine may close a slot at any
 * moment (its idle time-out). Switches (-D):
 *
 *   FENCED=1   the engine refuses fences below the highest that it has seen,
 *              and generations below its own
 *   MARGIN=1   no lease lapses before the connections that were checked under
 *              it are closed (order deadline = lease end - connection bound)
 *   QUIET=1    an order that differs from one that may still arrive waits
 *              until those connections are closed
 *   GUARD=1    a journal write demands the writer's lease key
 *   BOUND=1    the order is written on the connection that was checked; 0: a
 *              closed one is silently replaced by a new one
 *   DRAIN=1    a change is ordered only of a drained, empty engine
 *   STRICT=1   also judge that no order of a lapsed lease takes effect
 *
 * Judged where an order changes the engine (a copy of the order in effect does
 * not, whoever sent it):
 *   P1  fencing tokens in effect never go back
 *   P2  (STRICT) the order's holder has the lease at that moment
 *   P3  it is the state that the journal's order names: nothing that was given
 *       up or replaced takes effect, and orders of two holders never cross
 *   P4  no change arrives at an engine while a request runs on it
 * and over all runs: no invalid end state (a holder never gets stuck).
 */
#define FREE 0
#define CHECKED 1
#define WRITTEN 2

#define NONE 255
#define SLOTS 2
#define HOLDERS 2

/* Key-value service: the lease key and the journal record. */
byte lease_holder = NONE;
byte lease_fence = 0;
byte next_fence = 0;
byte j_version = 0;
byte j_gen = 0;
bit j_content = 0;
bit j_draining = 0;
bit j_open = 0;
byte j_fence = 0;

/* Engine. */
bit e_content = 0;
bit e_draining = 0;
bit e_running = 0;
byte e_fence = 0;
byte e_gen = 0;
byte highest_fence = 0;
byte effect_fence = 0;

/* What operators want; changes under way. */
bit goal = 1;

/* Orders on their connections. */
byte s_state[SLOTS];
byte s_owner[SLOTS];
byte s_fence[SLOTS];
byte s_gen[SLOTS];
bit s_content[SLOTS];
bit s_draining[SLOTS];

byte takeovers = 0;
byte crashes = 0;
byte goals = 0;

#define all_closed (s_state[0] == FREE && s_state[1] == FREE)

inline close_slot(n) {
  s_state[n] = FREE;
  s_owner[n] = 0;
  s_fence[n] = 0;
  s_gen[n] = 0;
  s_content[n] = 0;
  s_draining[n] = 0
}

inline lapse() {
  if
  :: MARGIN && s_state[0] != FREE && s_owner[0] == lease_holder ->
       close_slot(0)
  :: else
  fi;
  if
  :: MARGIN && s_state[1] != FREE && s_owner[1] == lease_holder ->
       close_slot(1)
  :: else
  fi;
  lease_holder = NONE;
  lease_fence = 0
}

inline take_effect(n) {
  if
  :: FENCED && s_fence[n] < highest_fence -> skip
  :: FENCED && s_fence[n] >= highest_fence && s_gen[n] < e_gen ->
       highest_fence = s_fence[n]
  :: else ->
       if
       :: FENCED && s_fence[n] > highest_fence -> highest_fence = s_fence[n]
       :: else
       fi;
       if
       :: s_content[n] != e_content || s_draining[n] != e_draining ->
            assert(s_content[n] == e_content || !e_running);     /* P4 */
            assert(s_fence[n] >= effect_fence);                  /* P1 */
            assert(!STRICT || lease_fence == s_fence[n]);        /* P2 */
            assert(s_content[n] == j_content &&
                   s_draining[n] == j_draining);                 /* P3 */
            effect_fence = s_fence[n]
       :: else
       fi;
       if
       :: FENCED -> e_fence = s_fence[n]; e_gen = s_gen[n]
       :: else
       fi;
       e_content = s_content[n];
       e_draining = s_draining[n]
  fi;
  close_slot(n)
}

active proctype Engine() {
end:
  do
  :: atomic { s_state[0] == WRITTEN -> take_effect(0) }
  :: atomic { s_state[1] == WRITTEN -> take_effect(1) }
  :: atomic { s_state[0] != FREE -> close_slot(0) }
  :: atomic { s_state[1] != FREE -> close_slot(1) }
  :: atomic { !e_running && !e_draining -> e_running = 1 }
  :: atomic { e_running -> e_running = 0 }
  :: atomic { crashes < MAX_CRASHES ->
       /* Everything but the highest fence is forgotten. */
       crashes++;
       close_slot(0);
       close_slot(1);
       e_content = 0; e_draining = 0; e_running = 0; e_fence = 0; e_gen = 0 }
  od
}

active proctype World() {
end:
  do
  :: atomic { lease_holder != NONE && takeovers < MAX_TAKEOVERS -> lapse() }
  :: atomic { goals < MAX_GOALS -> goals++; goal = 1 - goal }
  od
}

/* One compare-and-swap of the journal by holder h: stored, refused, or its
 * answer lost and then read back by its mark. The same write repeated finds
 * its own mark, so a lost answer ends in one of the first two. */
inline write_journal(ok) {
  if
  :: j_version == seen && (!GUARD || lease_fence == fence) ->
       j_version++;
       j_gen = n_gen;
       j_content = n_content;
       j_draining = n_draining;
       j_open = n_open;
       j_fence = fence;
       seen = j_version;
       ok = 1
  :: else -> ok = 0
  fi
}

proctype Holder(byte h) {
  byte fence, seen, n_gen, slot;
  bit n_content, n_draining, n_open, ok, inherited;

claim:
  fence = 0;
  inherited = 0;
end_claim:
  atomic {
    lease_holder == NONE && takeovers < MAX_TAKEOVERS ->
    takeovers++;
    next_fence++;
    lease_holder = h;
    lease_fence = next_fence;
    /* An answer that was lost is found by the mark in the key. */
    fence = next_fence;
    inherited = (j_version > 0)
  }

decide:
  atomic { slot = 0; ok = 0; seen = 0; n_gen = 0; n_content = 0;
           n_draining = 0; n_open = 0 };
  /* May have lost the lease by now, and not know. */
  if
  :: atomic { lease_fence != fence -> goto claim }
  :: atomic { !j_open && e_content == goal && !e_draining -> goto rest }
  :: atomic { j_open ->
       /* Ours or an earlier holder's: observe it, give it again or give up. */
       seen = j_version;
       n_gen = j_gen; n_content = j_content; n_draining = j_draining;
       if
       :: e_content == j_content && e_draining == j_draining -> n_open = 0
       :: !(e_content == j_content && e_draining == j_draining) &&
          e_content != j_content && !e_draining -> n_open = 0
       :: else -> n_open = 1
       fi;
       if
       :: n_open == 0 || j_fence != fence -> goto store
       :: else -> goto give
       fi }
  :: atomic { !j_open && !(e_content == goal && !e_draining) ->
       seen = j_version;
       n_open = 1;
       n_gen = j_gen + 1;
       if
       :: e_content == goal -> n_content = goal; n_draining = 0
       :: e_content != goal && !e_draining && DRAIN ->
            n_content = e_content; n_draining = 1
       :: e_content != goal && (e_draining || !DRAIN) ->
            n_content = goal; n_draining = 1
       fi;
       if
       :: n_content == j_content && n_draining == j_draining -> goto store
       :: else -> goto differ
       fi }
  fi;

differ:
  /* A copy of the last order may still arrive. */
  if
  :: atomic { lease_fence != fence -> goto claim }
  :: atomic { !QUIET && !FENCED -> goto store }
  :: atomic { QUIET && all_closed -> goto store }
  :: atomic { FENCED && e_fence == fence && e_gen >= j_gen -> goto store }
  :: atomic { FENCED && e_fence != fence && inherited && !j_open &&
              e_content == j_content && e_draining == j_draining ->
       /* Repeat the order in effect under the new fence. */
       n_gen = j_gen; n_content = j_content; n_draining = j_draining;
       n_open = 0;
       goto give }
  :: atomic { FENCED && e_fence == 0 && j_version == 0 -> goto store }
  :: atomic { j_version != seen -> goto decide }
  fi;

store:
  atomic {
    if
    :: lease_fence != fence && GUARD -> goto claim
    :: else ->
       write_journal(ok);
       if
       :: !ok -> goto decide
       :: ok && !n_open -> goto decide
       :: else
       fi
    fi
  }

give:
  /* The connection is opened, the engine read and the lease checked ... */
  if
  :: atomic { lease_fence != fence -> goto claim }
  :: atomic { lease_fence == fence && (s_state[0] == FREE ||
              s_state[1] == FREE) &&
              (n_content == e_content ||
               (!DRAIN || (e_draining && !e_running))) &&
              !(n_content != e_content && DRAIN && !e_draining) ->
       slot = (s_state[0] == FREE -> 0 : 1);
       s_state[slot] = CHECKED;
       s_owner[slot] = h;
       s_fence[slot] = fence;
       s_gen[slot] = n_gen;
       s_content[slot] = n_content;
       s_draining[slot] = n_draining }
  :: atomic { lease_fence == fence && n_content != e_content && DRAIN &&
              !e_draining -> goto decide }
  :: atomic { e_content == n_content && e_draining == n_draining &&
              e_fence == fence -> goto decide }
  fi;

  /* ... the holder may sleep here for any time ... */
  atomic {
    if
    :: s_state[slot] == CHECKED && s_owner[slot] == h &&
       s_fence[slot] == fence && s_gen[slot] == n_gen ->
         s_state[slot] = WRITTEN
    :: else ->
         if
         :: !BOUND && s_state[slot] == FREE ->
              /* The library connects again and sends. */
              s_state[slot] = WRITTEN;
              s_owner[slot] = h;
              s_fence[slot] = fence;
              s_gen[slot] = n_gen;
              s_content[slot] = n_content;
              s_draining[slot] = n_draining
         :: else
         fi
    fi
  };
  /* ... and goes on with or without an answer; only reading back counts. */
  goto decide;

rest:
end_rest:
  if
  :: atomic { lease_fence != fence -> goto claim }
  :: atomic { j_open || e_content != goal || e_draining -> goto decide }
  fi
}

init {
  atomic {
    run Holder(0);
    run Holder(1)
  }
}
