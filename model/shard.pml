/*
 * A shard with two owners, one after the other, and one task of a job that was taken in.
 *
 * Member A owns the shard at first, with token 1; member B takes it over, with token 2, at any time
 * whatever: A may be dead, paused, cut off from the store or from workers, or wrongly taken for dead.
 * Three workers. An order may be carried out at any time after it was sent, after newer ones too,
 * and its answer may be lost; a worker may crash and forget everything, the highest token included.
 *
 * What workers do (their own side, taken as given): they refuse a lower token than the highest they
 * have seen, an order that names another life, a run that was stopped or has ended there or is older
 * than one that has, and a start whose lease is over; they end what has no lease; and they list an
 * end until it is noted.
 *
 * Two parts are checked, each by itself:
 *   -DPROOF  B waits until all workers have answered to its token. Two workers and no clock: a lease
 *            may end at any time, and A may act for as long as it doesn't know better.
 *   -DLAPSE  B goes on without workers that don't answer, once most have and a bound is over. Three
 *            workers, no crash, and time: a set of counters of ticks left, which Clock counts down.
 *            The drift of clocks is left out: the product's bounds carry a margin for it. Nothing is
 *            stored or noted. B doesn't reach the third worker, where alone A starts the task.
 *            -DNEWS besides: the job is stored at any time, and each owner hears of it by itself.
 * -DCUT with PROOF: the first worker lists only its first ends, and not the task's, until an owner has
 * noted some of them.
 *
 * Invariants, as assertions: OnePlace, OnceNoted (nothing starts after an end that was noted),
 * Kept (an end that was noted is stored).
 * -DMUT_... leaves a guard out; -DREACH_... claims that a good thing never happens. Spin must refute
 * each of these (see model/check).
 */

#ifdef LAPSE
#define WORKERS 3
#else
#define WORKERS 2
#endif
#define HOLD 2                  /* ticks of a lease at a worker */
#define FRESH 2                 /* ticks for which a renewal in the store lets an owner act */
#define HEARD 2                 /* ticks for which an answer of a worker counts as one */
#define RUNS 3                  /* the run that is B's; those before are A's */
#ifdef LAPSE
#define LAST_OF_A 1
#else
#define LAST_OF_A 2
#endif
#define NOBODY 3                /* no worker */

/* How long B waits for workers that don't answer, once most of them have: A's leases count from when
 * most had answered it, which was before. */
#ifdef MUT_BOUND                /* B waits for less than the lease */
#define BOUND (HOLD - 1)
#else
#define BOUND HOLD
#endif

#define A 0
#define B 1
#define TOKEN(m) ((m) + 1)
#define AT(m, w) ((m) * WORKERS + (w))

/* The store: who may write, whether the task's end is stored, the workers, and which life of each,
 * that may run something. */
byte writer = A;
bool stored;
bool roster[WORKERS]; bool rlife[WORKERS];

/* Workers. */
byte high[WORKERS];             /* the highest token seen */
byte has[WORKERS];              /* the run that is there; 0 is none */
byte term[WORKERS];             /* ticks of its lease */
byte barred[WORKERS];           /* no run up to this one starts */
byte done[WORKERS];             /* the run that has ended, until it is noted */
bool life[WORKERS];             /* whether it has crashed and come back */
bool crashed;                   /* the first, once */

/* Starts on their way, by run, and the hold on its way, by member: to which worker, the ticks of the
 * lease, the life that is meant. A member has a second hold on its way only where it has given up the
 * first, which then changes nothing that the second doesn't. */
byte start[4] = NOBODY; byte sleft[4]; bool slife[4];
byte hold[2] = NOBODY; byte hleft[2]; bool hlife[2];

/* Members. */
bool owns[2];                   /* by what it knows */
bool ended[2];                  /* it knows that the task's work is done */
bool sure[2];                   /* it knows that this is stored */
bool writing[2];                /* a write is on its way */
byte at[2] = NOBODY;            /* where the task is, or may be */
byte last[2];                   /* the last run */
bool known[6];                  /* the life of a worker that it means */
bool listed[6];                 /* whether it knows that life to be in the roster */

/* A alone: how long it is confirmed yet, and how long what it has heard of each worker counts yet. */
byte confirmed;
byte heard[WORKERS];

/* B alone. */
bool asked[WORKERS];            /* in the roster that it has read */
bool fenced[WORKERS];           /* has answered to its token, or is over */
bool settled;
bool stray[WORKERS];            /* a run of the task is there besides the one that B goes by */
bool most;
byte wait;

bool noted;

#ifdef CUT
bool cut = true;                /* the first worker doesn't list the task's end */
bool whole;                     /* the first worker has listed all its ends to B, or is over */
#ifdef REACH_CUT
bool late;                      /* B has heard all workers while a list was cut off */
#endif
#define LISTS(w) ((w) != 0 || !cut)
#ifdef MUT_FIRST                /* B takes a list that is cut off for a whole one */
#define WHOLE true
#else
#define WHOLE whole
#endif
#else
#define LISTS(w) true
#define WHOLE true
#endif

#ifdef NEWS
#define FOUND 1                 /* stored before the takeover: B finds it in the store */
#define HEARD_OF 2              /* stored after that: B hears of it, and takes it for new */
byte job;
bool told;                      /* whether A has heard of it */
bool sole;                      /* ... and the store has confirmed since that the shard is A's */
#ifdef MUT_NEWS                 /* A starts whatever it has heard of */
#define KNOWS(m) (m == A -> told : job > 0 && (settled || job == HEARD_OF))
#else
#define KNOWS(m) (m == A -> sole : job > 0 && (settled || job == HEARD_OF))
#endif
#else
#define KNOWS(m) (m == A || settled)
#endif

#ifdef LAPSE
#define FENCED (fenced[0] + fenced[1] + fenced[2])
#define STRAYS (stray[0] || stray[1] || stray[2])
#define LESS(x, y) ((x) < (y) -> (x) : (y))
#define MORE(x, y) ((x) < (y) -> (y) : (x))
#define HEARS ((heard[0] > 0) + (heard[1] > 0) + (heard[2] > 0))
#define ELSEWHERE(w) ((w != 0 && has[0] > 0) || (w != 1 && has[1] > 0) || (w != 2 && has[2] > 0))
#else
#define FENCED (fenced[0] + fenced[1])
#ifdef MUT_STRAY                /* B forgets such a run once it has ordered its stop */
#define STRAYS false
#else
#define STRAYS (stray[0] || stray[1])
#endif
#define ELSEWHERE(w) (has[1 - w] > 0)
#endif

/* Whether a member may act on workers. */
#ifdef PROOF
#define ACTS(m) owns[m]
#else
#ifdef MUT_ACT                  /* an owner acts whatever it hears */
#define ACTS(m) owns[m]
#else
#define ACTS(m) (owns[m] && (m == B || confirmed > 0 || HEARS * 2 > WORKERS))
#endif
#endif

#ifdef MUT_LIFE                 /* orders don't name the life that they mean */
#define MEANT(l, w) true
#else
#define MEANT(l, w) ((l) == life[w])
#endif

#ifdef LAPSE
/* MUT_ANCHOR: without the store a lease counts from when it is given; MUT_ACT: so does one of an owner
 * that acts whatever it hears. */
#if defined(MUT_ANCHOR) || defined(MUT_ACT)
#define ANCHORED HOLD
#else                           /* ... from when most had answered; HOLD is as long as HEARD */
#define ANCHORED MORE(LESS(heard[0], heard[1]), LESS(MORE(heard[0], heard[1]), heard[2]))
#endif
#define LEASED(x, m) x = (ACTS(m) -> (m == B || confirmed > 0 -> HOLD : ANCHORED) : 0)
#define FRESH_START(r) (sleft[r] > 0)
#else
#define LEASED(x, m) x = 0
#define FRESH_START(r) true
#endif

#ifdef MUT_TOKEN                /* workers take any token */
#define ADMITS(m, w) true
#else
#define ADMITS(m, w) (TOKEN(m) >= high[w])
#endif

/* The number of a member's next run: B's are higher than any of A's. */
#define NEXT(m) (m == A || last[m] >= RUNS - 1 -> last[m] + 1 : RUNS)

inline pick(w) {
  if
  :: w = 0
  :: w = 1
#ifdef LAPSE
  :: w = 2
#endif
  fi
}

/* What it knew counts no more, and is forgotten so that there are fewer states. */
inline depose(m) {
  owns[m] = false; at[m] = NOBODY; ended[m] = false; sure[m] = false; last[m] = 0;
  if
#ifdef LAPSE
  :: m == A -> confirmed = 0; heard[0] = 0; heard[1] = 0; heard[2] = 0
#endif
  :: else -> skip
  fi
}

/* What a member learns of an answer of a worker to its hold. */
inline learn(m, w) {
  if
#ifdef LAPSE
  :: m == A -> heard[w] = HEARD
#endif
  :: m == B ->
       fenced[w] = true;
#ifdef CUT
       whole = whole || (w == 0 && !cut);
#ifdef REACH_CUT
       late = late || (cut && FENCED == WORKERS);
#endif
#endif
  :: else -> skip
  fi;
  if
  :: done[w] > 0 && !ended[m] && LISTS(w) -> ended[m] = true; at[m] = NOBODY
  :: else -> skip
  fi;
  if
  :: m == B -> stray[w] = (has[w] > 0 && at[m] != NOBODY && at[m] != w)
  :: else -> skip
  fi;
  if
  :: has[w] > 0 && at[m] == NOBODY && !ended[m] ->
       at[m] = w; last[m] = (has[w] > last[m] -> has[w] : last[m])
  :: else -> skip
  fi
}

/* What a member does. */
proctype Member(byte m) {
  byte w;
  do
  /* It starts the task where the store knows that it may run; an old owner's are known by then. */
  :: atomic {
       ACTS(m) && !ended[m] && at[m] == NOBODY && NEXT(m) <= (m == A -> LAST_OF_A : RUNS) &&
       start[NEXT(m)] == NOBODY &&
#ifdef MUT_SETTLE               /* B doesn't wait for the workers */
       (m == A || !STRAYS)
#else
       KNOWS(m) && (m == A || !STRAYS)
#endif
       ->
#ifdef LAPSE
       w = (m == A -> 2 : 0);
#else
       pick(w);
#endif
       if
#ifdef MUT_ROSTER
       :: m == A || fenced[w] ->
#else
       :: listed[AT(m, w)] && (m == A || fenced[w]) ->
#endif
            last[m] = NEXT(m);
            start[last[m]] = w; LEASED(sleft[last[m]], m); slife[last[m]] = known[AT(m, w)];
            at[m] = w
       :: else -> skip
       fi;
       w = 0
     }
  /* It stops the run, and may place the task again once that is confirmed. */
  :: atomic {
       ACTS(m) && at[m] != NOBODY ->
       w = at[m];
       if
       :: known[AT(m, w)] == life[w] && ADMITS(m, w) ->
            high[w] = TOKEN(m);
            barred[w] = (last[m] > barred[w] -> last[m] : barred[w]);
            if
            :: has[w] == last[m] -> has[w] = 0
            :: else -> skip
            fi;
            if
            :: done[w] == last[m] && LISTS(w) -> ended[m] = true; at[m] = NOBODY
#ifdef MUT_CUT                  /* it takes a run whose end isn't listed for one that is lost */
            :: done[w] == last[m] && !LISTS(w) -> at[m] = NOBODY
#endif
            :: done[w] != last[m] -> at[m] = NOBODY
            :: skip             /* the answer is lost */
            fi
       :: known[AT(m, w)] != life[w] -> at[m] = NOBODY
       :: else -> depose(m)
       fi;
       w = 0
     }
  /* B stops what runs besides. */
  :: atomic {
       m == B && STRAYS ->
       if
       :: stray[0] -> w = 0
       :: stray[1] -> w = 1
#ifdef LAPSE
       :: stray[2] -> w = 2
#endif
       fi;
       if
       :: known[AT(B, w)] == life[w] ->
            /* That it is gone, and how it ended, is learnt by the next hold. */
            barred[w] = (has[w] > barred[w] -> has[w] : barred[w]); has[w] = 0
       :: else -> skip
       fi;
       w = 0
     }
#ifdef MUT_STOP
  /* It takes a start without an answer for one that was not carried out. */
  :: atomic { ACTS(m) && at[m] != NOBODY && start[last[m]] == at[m] -> at[m] = NOBODY }
#endif
  /* It asks what runs and what has ended, and renews leases if it may act. */
  :: atomic {
       owns[m] && hold[m] == NOBODY ->
       pick(w);
       if
       :: m == A || (asked[w] && w < 2) -> hold[m] = w; LEASED(hleft[m], m); hlife[m] = known[AT(m, w)]
       :: else -> skip
       fi;
       w = 0
     }
#ifdef PROOF
  /* It stores the end. */
  :: atomic { owns[m] && ended[m] && !sure[m] && !writing[m] -> writing[m] = true }
  /* It notes at the worker what is stored. */
#ifdef MUT_NOTE                 /* ... before it is */
  :: atomic { ACTS(m) && ended[m] && !noted && (m == A || settled) ->
#else
#ifdef MUT_EARLY                /* ... before it knows that nobody else can start anything */
  :: atomic { ACTS(m) && sure[m] && !noted ->
#else
  :: atomic { ACTS(m) && sure[m] && !noted && (m == A || FENCED == WORKERS) ->
#endif
#endif
       if
       :: done[0] > 0 && ADMITS(m, 0) && known[AT(m, 0)] == life[0] ->
            done[0] = 0; noted = true
       :: done[1] > 0 && ADMITS(m, 1) && known[AT(m, 1)] == life[1] ->
            done[1] = 0; noted = true
       :: else -> skip
       fi;
#ifndef MUT_NOTE
       assert(!noted || stored) /* Kept */
#endif
     }
#ifdef CUT
  /* It notes ends of other tasks, so that the worker lists the next ones. */
  :: atomic {
       ACTS(m) && cut && (m == A || FENCED == WORKERS) && ADMITS(m, 0) && known[AT(m, 0)] == life[0] ->
       cut = false
     }
#endif
#endif
  od
}

/* What becomes of orders. */
proctype Links() {
  byte m; byte r; byte w;
  do
  :: atomic {
       if
       :: start[1] != NOBODY -> r = 1; m = A
       :: start[2] != NOBODY -> r = 2; m = A
       :: start[3] != NOBODY -> r = 3; m = B
       fi;
       w = start[r];
       if
       :: MEANT(slife[r], w) && ADMITS(m, w) && FRESH_START(r) && r > barred[w] && has[w] == 0 ->
            assert(!ELSEWHERE(w));       /* OnePlace */
            assert(!noted);              /* OnceNoted */
            high[w] = TOKEN(m); has[w] = r; barred[w] = r;
            term[w] = sleft[r]
       :: else -> skip
       fi;
       start[r] = NOBODY; sleft[r] = 0; slife[r] = false;
       m = 0; r = 0; w = 0
     }
  :: atomic {
       if
       :: hold[A] != NOBODY -> m = A
       :: hold[B] != NOBODY -> m = B
       fi;
       w = hold[m];
       if
       :: MEANT(hlife[m], w) && ADMITS(m, w) ->
            high[w] = TOKEN(m);
#ifdef LAPSE
            term[w] = (has[w] > 0 && hleft[m] > term[w] -> hleft[m] : term[w]);
#endif
            if
            :: owns[m] -> learn(m, w)
            :: skip        /* the answer is lost */
            fi
       :: MEANT(hlife[m], w) && !ADMITS(m, w) ->
            if
            :: depose(m)
            :: skip
            fi
       :: else ->
            /* Another life has answered: the one that was meant is over. */
            if
            :: m == B ->
                 fenced[w] = true;
#ifdef CUT
                 whole = whole || w == 0;
#endif
                 stray[w] = false; known[AT(m, w)] = life[w]; listed[AT(m, w)] = false
            :: m == A ->
                 at[A] = (at[A] == w -> NOBODY : at[A]);
                 known[AT(m, w)] = life[w]; listed[AT(m, w)] = false
            :: skip
            fi
       fi;
       hold[m] = NOBODY; hleft[m] = 0; hlife[m] = false;
       m = 0; w = 0
     }
  od
}

/* The store: writes, and the takeover. */
proctype Store() {
  do
  :: atomic { writing[A] ->
#ifdef MUT_COMMIT               /* a write expects nothing of the commit row */
       stored = true; sure[A] = owns[A];
#else
       if
       :: writer == A -> stored = true; sure[A] = owns[A]
       :: writer == B && owns[A] -> depose(A)
       :: else -> skip
       fi;
#endif
       writing[A] = false
     }
  :: atomic { writing[B] -> stored = true; sure[B] = true; writing[B] = false }
  /* The roster, with a life that is new; written as everything by who has the commit row. */
  :: atomic { owns[A] && writer == A && !listed[AT(A, 0)] ->
       roster[0] = true; rlife[0] = known[AT(A, 0)]; listed[AT(A, 0)] = true
     }
  :: atomic { owns[B] && !listed[AT(B, 0)] ->
       roster[0] = true; rlife[0] = known[AT(B, 0)]; listed[AT(B, 0)] = true
     }
#ifdef MUT_ROSTER
  :: atomic { owns[A] && writer == A && !roster[1] -> roster[1] = true }
#endif
#ifdef LAPSE
  /* A's renewal, while its row stands; once that is gone it has to read the table first. */
  :: atomic { owns[A] && confirmed < FRESH && writer == A ->
       confirmed = FRESH;
#ifdef NEWS
       sole = told
#endif
     }
#endif
  :: atomic { owns[A] && writer == B -> depose(A) }
  /* B takes over: one write that changes the owner and the commit row and expects A's row to be gone,
   * and so A's lease, which lasts for longer than it is confirmed; then it reads the rest. */
#ifdef LAPSE
#ifdef MUT_ROW                  /* it expects nothing of A's row */
  :: atomic { writer == A ->
#else
  :: atomic { writer == A && confirmed == 0 ->
#endif
#else
  :: atomic { writer == A ->
#endif
       writer = B; owns[B] = true;
       ended[B] = stored; sure[B] = stored;
       asked[0] = roster[0]; asked[1] = roster[1];
       fenced[0] = !roster[0]; fenced[1] = !roster[1];
#ifdef CUT
       whole = !roster[0];
#endif
#ifdef LAPSE
       asked[2] = roster[2]; fenced[2] = !roster[2]; listed[AT(B, 2)] = roster[2];
#endif
       known[AT(B, 0)] = rlife[0]; known[AT(B, 1)] = rlife[1];
       listed[AT(B, 0)] = roster[0]; listed[AT(B, 1)] = roster[1]
     }
#ifdef NEWS
  /* The job is stored, and A hears of it. */
  :: atomic { job == 0 -> job = (writer == A -> FOUND : HEARD_OF) }
  :: atomic { job > 0 && owns[A] && !told -> told = true; sole = confirmed > 0 }
#endif
  /* B has heard most of the workers; then all, or those that are left have no lease any more. */
#ifdef LAPSE
#ifdef MUT_MOST                 /* the bound counts from the takeover */
  :: atomic { owns[B] && !most -> most = true }
#else
  :: atomic { owns[B] && !most && FENCED * 2 > WORKERS -> most = true }
#endif
  :: atomic { owns[B] && !settled && (FENCED == WORKERS || wait == 0) ->
#else
  :: atomic { owns[B] && !settled && FENCED == WORKERS && WHOLE ->
#endif
#ifdef REACH_SETTLED
       assert(false);
#endif
#ifdef REACH_CUT
       assert(!late);
#endif
#ifdef REACH_LAPSED
       assert(FENCED == WORKERS);
#endif
       settled = true
     }
  od
}

#ifdef PROOF
/* Workers: work that is done, leases that end, a crash. */
proctype Workers() {
  byte w;
  do
  :: atomic {
       pick(w);
       if
       :: has[w] > 0 && done[w] == 0 -> done[w] = has[w]; has[w] = 0
       :: has[w] > 0 -> has[w] = 0
       :: !crashed && w == 0 ->
            crashed = true; life[w] = true; high[w] = 0; has[w] = 0; barred[w] = 0; done[w] = 0;
#ifdef CUT
            cut = false
#endif
       :: else -> skip
       fi;
#ifdef REACH_END
       assert(!(writer == B && noted && sure[B]));
#endif
       w = 0
     }
  od
}
#endif

#ifdef LAPSE
#define DOWN(x) x = (x > 0 -> x - 1 : 0)

/* A lease that is over ends the run at once, by the worker's own clock. */
inline tick_worker(w) {
  DOWN(term[w]); DOWN(heard[w]);
  has[w] = (term[w] == 0 -> 0 : has[w])
}

proctype Clock() {
  do
  :: atomic {
       tick_worker(0); tick_worker(1); tick_worker(2);
       DOWN(sleft[1]); DOWN(sleft[2]); DOWN(sleft[3]); DOWN(hleft[A]); DOWN(hleft[B]);
       DOWN(confirmed);
       if
       :: most -> DOWN(wait)
       :: else -> skip
       fi
     }
  od
}
#endif

init {
  atomic {
    owns[A] = true;
    roster[0] = true; listed[AT(A, 0)] = true; listed[AT(A, 1)] = true;
#ifndef MUT_ROSTER              /* ... with it, one is used before the store knows of it */
    roster[1] = true;
#endif
#ifdef LAPSE
    roster[2] = true; listed[AT(A, 2)] = true;
    confirmed = FRESH; wait = BOUND;
    run Clock();
#else
    run Workers();
#endif
    run Member(A); run Member(B); run Links(); run Store()
  }
}
