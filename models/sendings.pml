/*
 * One request that may run once, sent to targets at two addresses.
 *
 * A sending ends with what the sender reads first on its connection; answers
 * name the request, not the sending. At an address there may be another process
 * each time, so that each sending there is rejected, run or lost. Any answer may
 * come a second time. Switches (-D):
 *
 *   FRESH=1    a request that is sent to an address again gets a new connection
 *   STATUS=1   a status of a target's own that would promise that nothing ran is
 *              replaced; 0: it is forwarded
 *   STOP=1     nothing is sent after a sending of unknown outcome
 *   PROOF=1    only a rejection proves that nothing ran; 0: so does an answer
 *              that contradicts itself, of a target that ran the request
 *
 * Judged:
 *   P1  the request runs once at most
 *   P2  a refusal that promises that it has not run and never will is true
 */
#define ADDRESSES 2
#define SENDINGS 4

/* What an answer shows. */
#define REJECTED 1
#define ANSWERED 2
#define REFUSING 3
#define CONTRADICTS 4

chan answers[ADDRESSES] = [8] of { byte };
bit carried[ADDRESSES];
byte runs = 0;
bit refused = 0;

inline discard(at) {
  do
  :: answers[at]?_
  :: empty(answers[at]) -> break
  od;
  carried[at] = 0
}

inline begin_run() {
  runs++;
  assert(runs <= 1);
  assert(!refused)
}

/* The target's side of one sending; `lost`: no answer arrives. */
inline receive(at) {
  if
  :: reply = REJECTED
  :: begin_run(); reply = ANSWERED
  :: begin_run(); reply = REFUSING
  :: begin_run(); reply = CONTRADICTS
  :: begin_run(); lost = 1
  :: lost = 1
  fi;
  if
  :: !lost ->
       answers[at]!reply;
       if
       :: answers[at]!reply
       :: skip
       fi
  :: else
  fi
}

inline refuse() {
  refused = 1;
  assert(runs == 0);
  goto done
}

active proctype sender() {
  byte sendings = 0;
  byte at = 0;
  byte reply = 0;
  byte seen = 0;
  bit lost = 0;
  do
  :: sendings < SENDINGS ->
       sendings++;
       lost = 0;
       if
       :: at = 0
       :: at = 1
       fi;
       if
       :: FRESH && carried[at] -> discard(at)
       :: else
       fi;
       carried[at] = 1;
       receive(at);
       if
       :: empty(answers[at]) ->
            discard(at);
            if
            :: STOP -> goto done
            :: else
            fi
       :: answers[at]?seen ->
            if
            :: seen == REJECTED || (!PROOF && seen == CONTRADICTS) ->
                 if
                 :: skip
                 :: refuse()
                 fi
            :: seen == REFUSING && !STATUS -> refuse()
            :: else -> goto done
            fi
       fi
  :: sendings == SENDINGS -> refuse()
  od;
done:
  skip
}
