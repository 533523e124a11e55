/* Reconfiguration of a group. Checks promises 1 and 2: "no partially assembled group serves"
 * and "no VM belongs to two groups".
 *
 * There are three VMs and one group of two, at epoch 1 as the old holder left it. The old
 * holder still acts on its copy of the domain while its proof of holding is recent enough; its
 * orders are in flight for up to ORDER ticks. The new holder takes over, suspends the group,
 * replaces a member at epoch 2 and verifies the members. A third daemon routes requests by its
 * own copy of the domain and its own evidence. Each of them may pause for any time between two
 * steps; VMs restart at any time; orders may be lost; a frozen VM is one whose events do not
 * occur. The platform's conditional update prevents two holders from both writing; that is not
 * modelled here. Time is counted in ticks. Names are those of package group: takeOver, suspend,
 * replace, verified, mayOrder, Orders, Assess, Fresh. Engines ignore fencing numbers.
 *
 * Variants, each of which must hold:
 *   +DFENCES       engines refuse orders of an older epoch
 *
 * Mutants, each of which must be refuted:
 *   -DNO_ORDER_WAIT the new holder sends orders before the old one's lease has ended
 *   -DNO_LEASE      the old holder sends orders without a recent proof of holding
 *   -DNO_SETTLE     a VM enters an epoch before older evidence has expired
 *   -DNO_REST       a member goes directly from one epoch to the next
 *   -DEARLY_REST    unassigned time counts while an old holder's order may still arrive
 *   -DNO_AGE        requests are dispatched on evidence of any age
 */
#define AGE 2           /* ticks: oldest evidence on which a request is dispatched */
#define ORDER 1         /* ticks: longest time that an order is in flight */
#define LEASE 3         /* ticks: oldest proof of holding on which orders are sent */
#define SETTLE (AGE + ORDER)
#ifdef NO_ORDER_WAIT
#define WAIT 0
#else
#define WAIT (LEASE + ORDER)
#endif
#define OLD 0
#define NEW 1
#define NOBODY 3

mtype = { loading, serving, suspended };

/* the engines: the epoch to which each is assigned; 0: none */
byte asg[3];

/* the domain object */
byte epoch = 1, lead = 0, mate = 1;
mtype state = loading;
bit takenOver;

byte proof;             /* age of the old holder's proof of holding */
byte wait;              /* ticks until the new holder may order */
byte rest[3];           /* ticks for which an engine has had no assignment, counted from when
                         * no order of the old holder can arrive any more */
byte flyTo[2] = NOBODY, flyEpoch[2], flyAge[2];

/* the routing daemon */
byte rEpoch, rLead, rMate, leadAge = AGE, mateAge = AGE;
bit rServing;

byte v, a;

#define NEW_MAY_ORDER (takenOver && wait == 0)
#ifdef NO_LEASE
#define OLD_MAY_ORDER true
#else
#define OLD_MAY_ORDER (proof < LEASE)
#endif
#ifdef NO_SETTLE
#define RESTED(x) (asg[x] == 0)
#else
#define RESTED(x) (asg[x] == 0 && rest[x] >= SETTLE)
#endif
#ifdef NO_REST
#define KEEPABLE(x) (asg[x] == 1 || RESTED(x))
#else
#define KEEPABLE(x) RESTED(x)
#endif
#ifdef NO_AGE
#define FRESH true
#else
#define FRESH (leadAge < AGE && mateAge < AGE)
#endif
#define SPARE (3 - lead - mate)

inline order(p, vm, e) { flyTo[p] = vm; flyEpoch[p] = e; flyAge[p] = 0 }

inline land(p) {
  if
  :: skip               /* lost */
#ifdef FENCES
  :: p == NEW || flyEpoch[p] >= asg[flyTo[p]] -> asg[flyTo[p]] = flyEpoch[p]
#else
  :: asg[flyTo[p]] = flyEpoch[p]
#endif
  fi;
  if :: asg[flyTo[p]] != 0 -> rest[flyTo[p]] = 0 :: else -> skip fi;
  flyTo[p] = NOBODY; flyEpoch[p] = 0; flyAge[p] = 0
}

inline older(x, top) { if :: x < top -> x++ :: else -> skip fi }

#ifdef EARLY_REST
#define COUNTS true
#else
#define COUNTS (takenOver && wait == 0)
#endif

inline ripen(x) {
  if
  :: asg[x] == 0 && COUNTS -> older(rest[x], SETTLE)
  :: else -> rest[x] = 0
  fi
}

inline tick() {
  ripen(0); ripen(1); ripen(2);
  older(proof, LEASE); older(leadAge, AGE); older(mateAge, AGE);
  if :: wait > 0 -> wait-- :: else -> skip fi;
  if :: flyTo[OLD] != NOBODY -> flyAge[OLD]++ :: else -> skip fi;
  if :: flyTo[NEW] != NOBODY -> flyAge[NEW]++ :: else -> skip fi
}

init {
  do
  :: atomic {
       select(v : 0 .. 2);
       if
       /* the old holder, by its copy of the domain: epoch 1 on VMs 0 and 1 */
       :: !takenOver -> proof = 0
       :: !takenOver && state == loading && asg[0] == 1 && asg[1] == 1 -> state = serving
       :: OLD_MAY_ORDER && flyTo[OLD] == NOBODY && v < 2 && asg[v] != 1 -> order(OLD, v, 1)
       :: flyTo[OLD] != NOBODY -> land(OLD)
       /* the new holder */
       :: !takenOver -> takenOver = 1; wait = WAIT
       :: takenOver && state == loading && asg[lead] == epoch && asg[mate] == epoch -> state = serving
       :: takenOver && state != suspended && epoch == 1 -> state = suspended
       :: takenOver && state == suspended && RESTED(SPARE) && KEEPABLE(lead) -> mate = SPARE; epoch = 2; state = loading
       :: takenOver && state == suspended && RESTED(SPARE) && KEEPABLE(mate) -> lead = SPARE; epoch = 2; state = loading
       :: takenOver && state == suspended && RESTED(SPARE) && KEEPABLE(lead) ->
            v = lead; lead = SPARE; mate = v; epoch = 2; state = loading
       :: takenOver && state == suspended && KEEPABLE(lead) && KEEPABLE(mate) -> epoch = 2; state = loading
       :: NEW_MAY_ORDER && flyTo[NEW] == NOBODY && state == loading && (v == lead || v == mate) && asg[v] != epoch -> order(NEW, v, epoch)
       :: NEW_MAY_ORDER && flyTo[NEW] == NOBODY && (v == SPARE || state == suspended) && asg[v] != 0 -> order(NEW, v, 0)
       :: flyTo[NEW] != NOBODY -> land(NEW)
       :: flyAge[OLD] < ORDER && flyAge[NEW] < ORDER -> tick()
       /* a VM restarts */
       :: asg[v] != 0 -> asg[v] = 0; rest[v] = 0
       /* the routing daemon reads the domain object and probes the members */
       :: rEpoch != epoch || rServing != (state == serving) ->
            if :: rEpoch != epoch -> leadAge = AGE; mateAge = AGE :: else -> skip fi;
            rEpoch = epoch; rLead = lead; rMate = mate; rServing = (state == serving)
       :: rServing && asg[rLead] == rEpoch -> leadAge = 0
       :: rServing && asg[rMate] == rEpoch -> mateAge = 0
       /* dispatch: rank 0 accepts a request only for its own epoch. The group itself notices a
        * restarted member; a member at another epoch must never occur. */
       :: rServing && FRESH && asg[rLead] == rEpoch -> assert(asg[rMate] == rEpoch || asg[rMate] == 0)
       fi;
       v = 0; a = 0
     }
  od
}
