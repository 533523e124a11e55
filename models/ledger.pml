/* The claim ledger. Checks promise 5: "a request marked as not repeatable runs at most once".
 *
 * Two daemons claim the same key in one shard; a third appends other records and compacts the
 * log. Each platform call is one atomic step. Daemons may pause for any time between two steps,
 * answers to a create may be lost, and a claimant may crash and come back with a new attempt.
 * Names are those of package ledger: load, tryAppend, readBack, confirm, compact, deleteLog.
 *
 * Mutants, each of which must be refuted:
 *   -DNO_CONFIRM  a successful create counts without reading the snapshot again
 *   -DNO_GOOD     a view counts although its log numbers were compacted meanwhile
 *   -DNO_READBACK a lost answer is not read back, and the request is dispatched
 *   -DDELETE_FIRST log numbers are deleted before a snapshot covers them
 */
#define MAXSEQ 3
#define FILL 9          /* a batch without this key's claim */
#define ATTEMPTS 2      /* attempts 1 .. ATTEMPTS claim the key */

byte log[MAXSEQ + 2];
byte snapUpTo, snapHold;
byte granted;           /* number of attempts that were allowed to dispatch */
byte attempts;

inline load() {
  atomic { seq = snapUpTo; hold = snapHold; good = snapUpTo }
}

/* apply a claim to the view: the first claim holds */
inline fold(c) {
  if :: hold == 0 && c != FILL -> hold = c :: else -> skip fi;
  seq++
}

/* append the batch `me`: sets done once it is in the log, or stuck if the log is full */
inline append(me) {
  done = false; stuck = false;
  load();
  do
  :: done || stuck -> break
  :: !done && !stuck && seq >= MAXSEQ -> stuck = true
  :: !done && !stuck && seq < MAXSEQ ->
       /* tryAppend */
       atomic {
         next = seq + 1;
         if
         :: log[next] == 0 -> log[next] = me; answer = 1
         :: log[next] == 0 -> log[next] = me; answer = 2   /* written, answer lost */
         :: log[next] == 0 -> answer = 2                   /* not written, no answer */
         :: log[next] != 0 -> answer = 0
         fi
       }
#ifdef NO_READBACK
       if :: answer == 2 -> answer = 1 :: else -> skip fi;
#endif
       if
       :: answer == 1 -> skip
       :: else ->
            /* readBack */
            atomic {
              if
              :: log[next] == me -> answer = 1
              :: log[next] == 0 -> answer = 3
              :: log[next] != me && log[next] != 0 -> fold(log[next]); answer = 0
              fi
            }
       fi;
       if
       :: atomic { answer == 3 -> answer = 0; next = 0 }; load()
       :: atomic { answer == 0 -> next = 0 }
       :: answer == 1 ->
            /* confirm */
            atomic {
#ifdef NO_CONFIRM
              fold(me); good = seq; done = true;
#else
              if
              :: snapUpTo >= next && me != FILL && snapHold == me ->
                   seq = snapUpTo; hold = snapHold; good = snapUpTo; done = true
              :: snapUpTo >= next && !(me != FILL && snapHold == me) ->
                   seq = snapUpTo; hold = snapHold; good = snapUpTo
#ifdef NO_GOOD
              :: snapUpTo < next -> fold(me); good = seq; done = true
#else
              :: snapUpTo < next && snapUpTo > good ->
                   seq = snapUpTo; hold = snapHold; good = snapUpTo
              :: snapUpTo < next && snapUpTo <= good -> fold(me); good = seq; done = true
#endif
              fi;
#endif
              answer = 0; next = 0
            }
       fi
  od
}

proctype claimant() {
  byte seq, hold, good, next, answer, me;
  bool done, stuck;
again:
  atomic {
    if
    :: attempts < ATTEMPTS -> attempts++; me = attempts
    :: true -> me = FILL        /* records of other keys */
        fi
  }
  append(me);
  atomic {
    if
    :: done && me != FILL && hold == me -> granted++; assert(granted <= 1)
    :: else -> skip
    fi;
    me = 0; done = false; stuck = false; seq = 0; hold = 0; good = 0
  }
  if
  :: goto again         /* also stands for a crash and restart */
  :: skip
  fi
}

/* Appends other records and compacts the log. Any of the deletes may fail. */
proctype compactor() {
  byte seq, hold, good, next, answer, d, seen;
  bool done, stuck;
  do
  :: true ->
       append(FILL);
       if
       :: stuck -> break
       :: done ->
            atomic { seen = snapUpTo };
#ifdef DELETE_FIRST
            d = 1;
            do
            :: atomic { d <= seq -> if :: log[d] = 0 :: skip fi; d++ }
            :: atomic { d > seq -> d = 0; break }
            od;
#endif
            /* compact: a conditional update of the snapshot */
            if
            :: atomic { snapUpTo == seen && seen < seq -> snapUpTo = seq; snapHold = hold };
               /* deleteLog */
               d = 1;
               do
               :: atomic { d <= seq -> if :: log[d] = 0 :: skip fi; d++ }
               :: atomic { d > seq -> d = 0; break }
               od
            :: skip
            fi;
            seen = 0
       fi
  od
}

init { atomic { run claimant(); run claimant(); run compactor() } }
