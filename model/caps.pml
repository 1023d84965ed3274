/*
 * The cap of one customer, divided between two shards. A owns the first shard, C the second one. With
 * -DTAKEOVER, B takes the first shard over at any time; with -DLOWERED, the operator lowers the cap at
 * any time, and each owner hears of it by itself. A write of the division may be carried out at any time after it was sent,
 * its answer may be lost, and a start may be carried out late.
 *
 * Taken as given (shard.pml): A sends no start after B has taken over, and once B is settled no start
 * of A is carried out.
 *
 * Invariant, as an assertion at each start: what runs, or may still begin to run, is within the cap
 * that the sender knows. -DMUT_... leaves a guard out, -DREACH_... claims that a good thing never
 * happens; spin must refute each of these (see model/check).
 */

#ifdef TAKEOVER
#define HIGH 1                  /* the cap at first */
#else
#define HIGH 2
#endif
#define LOW 1                   /* the lowered cap */
#define WRITES 5                /* the last revision of the division */

#define A 0
#define B 1
#define C 2
#define SHARD(m) ((m) / 2)      /* A and B have the first one, C the second */
#define CAP(m) (news[m] -> LOW : HIGH)

/* The store. */
byte allot[2];
byte rev = 1;
byte owner = A;                 /* of the first shard */
bool lowered;

/* Workers: what runs, by its starter, and the starts on their way. */
byte runs[3]; byte flight[3];

/* Owners: what each knows of the division. */
byte view0[3]; byte view1[3]; byte vrev[3] = 1;
bool news[3];                   /* has heard of the lowered cap */
bool fresh[3] = true;           /* has read the division since it heard */
byte least[3] = 9;              /* the least allotment in writes whose outcome is unknown */
bool settled;                   /* B knows what A had started */
byte inherited;                 /* the allotment at the takeover */

/* Writes on their way: one whose answer is awaited and one that was given up, by owner. */
byte w0[6]; byte w1[6]; byte wrev[6]; bool wnews[6]; bool wout[6];

#define VIEW(m) (SHARD(m) == 0 -> view0[m] : view1[m])
#define NEW(i, m) (SHARD(m) == 0 -> w0[i] : w1[i])
#define MIN(a, b) ((a) < (b) -> (a) : (b))

/* What an owner counts as running. */
#ifdef MUT_FLIGHT               /* starts without an answer don't count */
#define OWN(m) (runs[m])
#else
#define OWN(m) (runs[m] + flight[m])
#endif
#ifdef MUT_INHERIT              /* a successor counts from zero until it is settled */
#define USED(m) (OWN(m) + (m == B && settled -> runs[A] : 0))
#else
#define USED(m) (OWN(m) + (m == B -> (settled -> runs[A] : inherited) : 0))
#endif

/* The allotment that an owner has whatever becomes of its writes. */
#ifdef MUT_LEAST                /* writes whose outcome is unknown are forgotten */
#define SURE(m) (wout[m] -> MIN(VIEW(m), NEW(m, m)) : VIEW(m))
#else
#define SURE(m) (wout[m] -> MIN(MIN(VIEW(m), least[m]), NEW(m, m)) : MIN(VIEW(m), least[m]))
#endif

#ifdef MUT_SUM                  /* an owner looks at its own allotment alone */
#define WITHIN(m) true
#else
#define WITHIN(m) (view0[m] + view1[m] <= CAP(m))
#endif

#ifdef MUT_OWNER                /* a write doesn't expect the owner's row */
#define OWNED(m) true
#else
#define OWNED(m) (m == C || owner == m)
#endif
#ifdef MUT_CONFIG               /* a write doesn't expect the configuration */
#define CURRENT(i) true
#else
#define CURRENT(i) (wnews[i] == lowered)
#endif

#define ALIVE(m) (m == C || owner == m)
#define TOTAL (runs[A] + runs[B] + runs[C] + flight[A] + flight[B] + flight[C])

inline look(who) {
  if
  :: vrev[who] < rev -> least[who] = 9
  :: else
  fi;
  view0[who] = allot[0]; view1[who] = allot[1]; vrev[who] = rev
}

inline send(who, n0, n1) {
  w0[who] = n0; w1[who] = n1; wrev[who] = vrev[who]; wnews[who] = news[who]; wout[who] = true
}

/* Clears a slot, so that equal states look equal. */
inline clear(slot) {
  w0[slot] = 0; w1[slot] = 0; wrev[slot] = 0; wnews[slot] = false; wout[slot] = false
}

/* Carries out the write in a slot of an owner. */
inline apply(slot, who) {
  if
  :: wrev[slot] == rev && OWNED(who) && CURRENT(slot) && rev < WRITES ->
    allot[0] = w0[slot]; allot[1] = w1[slot]; rev++
  :: else
  fi
}

proctype Owner(byte m) {
  do
  :: atomic { ALIVE(m) && vrev[m] < rev && !wout[m] -> look(m) }
  :: atomic { ALIVE(m) && lowered && !news[m] ->
       news[m] = true;
#ifndef MUT_FRESH               /* what it knew of the division before holds on */
       fresh[m] = false
#endif
     }
  :: atomic { ALIVE(m) && !fresh[m] && !wout[m] -> look(m); fresh[m] = true }
  /* Takes a part of the cap that nobody has. */
  :: atomic { ALIVE(m) && fresh[m] && !wout[m] && view0[m] + view1[m] < CAP(m) ->
       if
       :: SHARD(m) == 0 -> send(m, view0[m] + 1, view1[m])
       :: else -> send(m, view0[m], view1[m] + 1)
       fi }
  /* Gives up a part, or passes it on. */
  :: atomic { ALIVE(m) && fresh[m] && !wout[m] && VIEW(m) > USED(m) ->
       if
       :: SHARD(m) == 0 -> send(m, view0[m] - 1, view1[m])
       :: SHARD(m) == 0 && WITHIN(m) -> send(m, view0[m] - 1, view1[m] + 1)
       :: SHARD(m) == 1 -> send(m, view0[m], view1[m] - 1)
       :: SHARD(m) == 1 && WITHIN(m) -> send(m, view0[m] + 1, view1[m] - 1)
       fi }
  /* The write is carried out and answered. */
  :: atomic { wout[m] -> apply(m, m); clear(m); look(m) }
  /* Its answer is lost, after or before it is carried out. */
  :: atomic { wout[m] && !wout[m + 3] ->
       least[m] = MIN(least[m], NEW(m, m));
       if
       :: apply(m, m)
       :: wrev[m] == rev ->
          w0[m + 3] = w0[m]; w1[m + 3] = w1[m]; wrev[m + 3] = wrev[m];
          wnews[m + 3] = wnews[m]; wout[m + 3] = true
       fi;
       clear(m) }
  :: atomic { wout[m + 3] -> apply(m + 3, m); clear(m + 3) }
  :: atomic { ALIVE(m) && fresh[m] && WITHIN(m) && SURE(m) > USED(m) && TOTAL <= HIGH ->
       flight[m]++;
       assert(TOTAL <= CAP(m));
#ifdef REACH_LOW
       assert(!news[m])
#endif
#ifdef REACH_TAKEOVER
       assert(m != B || !settled)
#endif
     }
  :: atomic { flight[m] > 0 && !(m == A && settled) -> flight[m]--; runs[m]++ }
  :: atomic { runs[m] > 0 -> runs[m]-- }
  od
}

init {
#ifdef TAKEOVER
  atomic { run Owner(A); run Owner(B); run Owner(C) };
  atomic { owner = B; look(B); inherited = allot[0] };
  atomic { flight[A] = 0; settled = true }
#else
  atomic { run Owner(A); run Owner(C) };
  atomic { lowered = true }
#endif
}
