/* Acceptance of a configuration revision. Checks promise 8: "an accepted configuration is in
 * force everywhere and never reverts".
 *
 * Three registered daemons share one platform object, the head. Any of them writes one change,
 * to revision 1. DECIDER decides whether it is accepted; VICTIM is the daemon that might still
 * admit requests under revision 0; HELPER is the third. The roles are symmetric in the
 * protocol, so the model only holds what the decider knows about the others, and the victim's
 * lease. Time is counted in ticks: the admission lease is TERM ticks, the fence time FENCE
 * ticks. Each event is one atomic step, and events occur in any order. Names are those of
 * package revision: PlatformRead, Renew (platform, majority, accounted), Note, Decide. Kills
 * and restarts are unbounded. A network cut, a pause, a lost answer or a platform outage is an
 * event that does not occur: any number of events may fail to occur for any time.
 *
 * Variants, each of which must hold:
 *   +DNEWCOMER         the decider joined after the victim's last update: the victim
 *                      knows two helpers but not the decider
 *
 * Mutants, each of which must be refuted:
 *   -DNO_FENCE         the quorum need not keep running for the fence time
 *   -DNEWCOMER_MAY_DIE the fence time passes, but the quorum may die in it
 *   -DNO_QUORUM        the fence time alone suffices
 *   -DOLD_REFUSAL      a refusal from before the change counts as a stopped process
 *   -DACCOUNTED_STARTS "accounted for" may start a lease, not only extend one
 *   -DLEASE_FROM_NOW   a lease is counted from its renewal, not from its evidence
 */
#ifdef NEWCOMER_MAY_DIE
#define NEWCOMER
#define MAY_DIE
#endif
#define DECIDER 0
#define HELPER 1
#define VICTIM 2
#ifdef NEWCOMER
#define HELPER2 3
#define FIRST HELPER2   /* the daemon that the victim knows besides HELPER */
#define PROCS 4
#else
#define FIRST DECIDER
#define PROCS 3
#endif
#ifdef NEWCOMER
#define TERM 2
#define FENCE 3
#else
#define TERM 3
#define FENCE 4
#endif
#define STALE TERM      /* an age at which evidence has expired */

bit head, accepted;
bit rev[PROCS], alive[PROCS];

/* the victim's lease and evidence */
byte lease;             /* ticks until it ends */
byte heardAge[PROCS];   /* age of the last answer of FIRST, HELPER */
byte refusedAge[PROCS];     /* age of the last connection that they refused */

/* what the decider knows */
bit acked[PROCS];           /* the process is known to have revision 1 */
byte ackAge[PROCS];         /* ticks since that became known, up to FENCE */
bit livedOn[PROCS];         /* it answered again at least the fence time later */
bit gone[PROCS];            /* it refused a connection since the decider has revision 1 */

byte x, y, a;

#define MIN(p, q) ((p) < (q) -> (p) : (q))
#define MAX(p, q) ((p) > (q) -> (p) : (q))
#define SEEN(p) MIN(heardAge[p], refusedAge[p])

inline extend(age) {
#ifdef LEASE_FROM_NOW
  lease = TERM
#else
  if :: lease + age < TERM -> lease = TERM - age :: else -> skip fi
#endif
}

/* Renew by the victim: a majority is itself and one more, none at a newer revision */
inline renew() {
  a = MIN(heardAge[FIRST], heardAge[HELPER]);
  if
  :: a < STALE -> extend(a)
  :: else ->
       a = MAX(SEEN(FIRST), SEEN(HELPER));
#ifdef ACCOUNTED_STARTS
       if :: a < STALE -> extend(a) :: else -> skip fi
#else
       if :: a < STALE && lease > 0 -> extend(a) :: else -> skip fi
#endif
  fi
}

/* process p applies revision 1, unless it has it */
inline learn(p) {
  if
  :: !rev[p] ->
       rev[p] = 1;
       if :: p == DECIDER -> acked[p] = 1; ackAge[p] = 0 :: else -> skip fi
  :: else -> skip
  fi
}

inline platformRead(p) {
  if :: head -> learn(p) :: else -> skip fi;
  if :: p == VICTIM -> lease = TERM :: else -> skip fi
}

/* With a fourth daemon only the helpers may die: a dead decider decides nothing, and a dead
 * victim admits nothing. */
#ifdef NEWCOMER
#define MORTAL(p) (p == HELPER || p == HELPER2)
#else
#define MORTAL(p) true
#endif

#ifdef NEWCOMER
#define CAN_ASK(p, q) !(p == VICTIM && q == DECIDER)
#else
#define CAN_ASK(p, q) true
#endif

/* p makes a sync call to q */
inline sync(p, q) {
  if
  :: alive[q] ->
       if :: rev[q] -> learn(p) :: else -> skip fi;
       if :: p == VICTIM -> heardAge[q] = 0 :: else -> skip fi;
       if
       :: p == DECIDER && rev[p] && rev[q] && !acked[q] -> acked[q] = 1; ackAge[q] = 0
       :: p == DECIDER && acked[q] && ackAge[q] == FENCE -> livedOn[q] = 1
       :: else -> skip
       fi
  :: !alive[q] ->
       if :: p == VICTIM -> refusedAge[q] = 0 :: else -> skip fi;
#ifdef OLD_REFUSAL
       if :: p == DECIDER -> gone[q] = 1 :: else -> skip fi
#else
       if :: p == DECIDER && rev[p] -> gone[q] = 1 :: else -> skip fi
#endif
  fi
}

#ifdef NO_QUORUM
#define LIVED(p) true
#else
#ifdef NO_FENCE
#define LIVED(p) acked[p]
#else
#ifdef MAY_DIE
#define LIVED(p) (acked[p] && ackAge[p] == FENCE)
#else
#define LIVED(p) livedOn[p]
#endif
#endif
#endif
#define KNOWN(p) (acked[p] || gone[p])
#ifdef NEWCOMER
/* two of the three slots accepted last and three of the four now, the decider among these */
#define QUORUM (LIVED(HELPER) && LIVED(HELPER2) || LIVED(HELPER) && LIVED(VICTIM) || LIVED(HELPER2) && LIVED(VICTIM))
#define ACCOUNTED (KNOWN(HELPER) && KNOWN(HELPER2) && KNOWN(VICTIM))
#else
#define QUORUM (LIVED(HELPER) || LIVED(VICTIM))
#define ACCOUNTED (KNOWN(HELPER) && KNOWN(VICTIM))
#endif
#ifdef NO_FENCE
#define DECIDE (rev[DECIDER] && (ACCOUNTED || QUORUM))
#else
#define DECIDE (rev[DECIDER] && (ACCOUNTED || ackAge[DECIDER] == FENCE && QUORUM))
#endif

inline older(age) { if :: age < STALE -> age++ :: else -> skip fi }

inline tick() {
  older(heardAge[FIRST]); older(heardAge[HELPER]); older(refusedAge[FIRST]); older(refusedAge[HELPER]);
  a = 0;
  do
  :: a < PROCS -> if :: acked[a] && ackAge[a] < FENCE -> ackAge[a]++ :: else -> skip fi; a++
  :: else -> break
  od;
  if :: lease > 0 -> lease-- :: else -> skip fi
}

inline kill(p) {
  alive[p] = 0;
  if
  :: p == VICTIM -> lease = 0
  :: p == DECIDER ->           /* it loses what it knew */
       a = 0;
       do
       :: a < PROCS -> acked[a] = 0; ackAge[a] = 0; livedOn[a] = 0; gone[a] = 0; a++
       :: else -> break
       od
  :: else -> skip
  fi;
  rev[p] = 0
}

/* A new process joins by a conditional update of the head, so it has the current head. What
 * was known about the old process does not apply to it. */
inline restart(p) {
  alive[p] = 1; rev[p] = 0;
  if
  :: p == VICTIM -> heardAge[FIRST] = STALE; heardAge[HELPER] = STALE; refusedAge[FIRST] = STALE; refusedAge[HELPER] = STALE
  :: else -> skip
  fi;
  acked[p] = 0; ackAge[p] = 0; livedOn[p] = 0;
  platformRead(p)
}

init {
  atomic {
    heardAge[FIRST] = STALE; heardAge[HELPER] = STALE; refusedAge[FIRST] = STALE; refusedAge[HELPER] = STALE;
    a = 0;
    do
    :: a < PROCS -> alive[a] = 1; a++
    :: else -> break
    od;
    lease = TERM
  }
  do
  :: atomic {
       select(x : 0 .. PROCS - 1);
       select(y : 0 .. PROCS - 1);
       if
       :: alive[x] && !head -> head = 1; platformRead(x)
       :: alive[x] -> platformRead(x)
       :: alive[x] && x != y && CAN_ASK(x, y) -> sync(x, y)
       :: alive[VICTIM] -> renew()
       :: DECIDE -> accepted = 1
       :: true -> tick()
       :: alive[x] && MORTAL(x) -> kill(x)
       :: !alive[x] -> restart(x)
       fi;
       x = 0; y = 0; a = 0;
       assert(!(accepted && alive[VICTIM] && lease > 0 && !rev[VICTIM]))
     }
  od
}
