/*
 * The cancelling of one job, and what the owner of its shard may start meanwhile. Members 0 and 1 take
 * requests; member 1 may join late, member 0 may lose its row. The owner, which a successor may
 * replace, learns of the cancel by a notice, a watch and pages, and asks all members for the cancels
 * that they have acknowledged, for the times in which the store is silent.
 *
 * Every step is one atomic choice: a store that is silent to somebody, a member that dies, a notice or
 * an answer that is lost, and a pause are steps that aren't taken. Times are ages in ticks, which count
 * up to one more than BOUND.
 *
 * Taken as given: once a successor has begun, a former owner starts nothing (shard.pml); a reply of the
 * store covers what was stored before the call was sent (MUT_STALE shows that this is needed).
 *
 * Invariant, as an assertion at each start: at most BOUND ticks after the cancel was acknowledged.
 * -DMUT_... leaves a guard out, -DREACH=... claims that a good thing never happens; spin must refute
 * each of these (see model/check).
 */

#ifndef BOUND
#define BOUND 1
#endif
#define OLD (BOUND + 1)
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define OLDER(t) t = MIN(t + 1, OLD)

/* The store: its changes are counted, 0 is a row that isn't there; and the members' rows, a bit each. */
byte rev; byte job_row; byte cancel_row; byte table = 1;
bool greeted;                   /* all that member 1 found in the table know of it */
#ifdef REACH
bool away; byte away_age;       /* silent to everybody */
#define UP !away
#else
#define UP true
#endif

/* The request to cancel, at a member. */
#define NEW 0
#define WRITTEN 1
#define ACKED 2
byte cancel = NEW; byte taker; byte acked_age;
bool recorded;                  /* the member names it to owners that ask */

/* The owner: how old its view is, and what it knows. */
byte age; bool cancelled; bool loading;
byte known = 1;                 /* the table */
bool gone;                      /* member 0 has left since the last complete call was sent */
byte after;                     /* the revision from which the watch goes on */

#define NONE 0
#define WATCH 1
#define PAGE 2
byte call = NONE; byte call_age; byte call_rev; bool call_gone;
bool query; byte query_age; byte answers;

inline end_call() { call = NONE; call_age = 0; call_rev = 0; call_gone = false }
inline end_query() { query = false; query_age = 0; answers = 0 }
inline seen() { age = MIN(age, call_age); gone = gone && !call_gone; end_call() }

#ifdef MUT_GONE                 /* who has left isn't asked for */
#define COMPLETE true
#else
#define COMPLETE !gone
#endif
#ifdef MUT_PARTIAL              /* one member may be missing */
#define ANSWERED (answers != 0)
#else
#define ANSWERED (answers == known)
#endif
#ifdef MUT_ROW                  /* a cancel's write doesn't expect the member's row */
#define LISTED(m) true
#else
#define LISTED(m) (table & (1 << m))
#endif
#ifdef MUT_JOIN                 /* a new member takes cancels before the owner knows of it */
#define GREETED(m) (m == 0 || (table & 2))
#else
#define GREETED(m) (m == 0 || greeted)
#endif
#ifdef MUT_AGELESS              /* a start doesn't ask how old the view is */
#define FRESH true
#else
#define FRESH (age <= BOUND)
#endif

proctype World() {
  do
  :: atomic { OLDER(age);
       if :: cancel == ACKED -> OLDER(acked_age) :: else fi;
       if :: call != NONE -> OLDER(call_age) :: else fi;
       if :: query -> OLDER(query_age) :: else fi;
#ifdef REACH
       if :: away -> OLDER(away_age) :: else fi
#endif
     }
#ifdef REACH
  :: atomic { away = !away; away_age = 0 }
#endif
  /* The job is written, perhaps long after its request and its cancel. */
  :: atomic { UP && job_row == 0 -> rev++; job_row = rev }
  :: atomic { UP && (table & 1) -> table = table & 2 }
  :: atomic { UP && !(table & 2) -> table = table | 2 }
  :: atomic { (table & 2) && !greeted ->
       if :: !(known & 2) -> known = known | 2; end_query() :: else fi;
       greeted = true }
  od
}

proctype Cancel() {
  atomic { UP;
    if :: LISTED(0) && GREETED(0) -> taker = 0 :: LISTED(1) && GREETED(1) -> taker = 1 fi;
    if
#ifdef MUT_UNWRITTEN            /* nothing is written where no job is found */
    :: job_row == 0
#endif
    :: else -> rev++; cancel_row = rev
    fi;
    cancel = WRITTEN };
#ifndef MUT_LATE_RECORD         /* it is recorded once it has been acknowledged */
  recorded = true;
#endif
  cancel = ACKED;
  recorded = true
}

/* The owner knows of the job as soon as it is stored. */
proctype Owner() {
  byte upto;
  do
  :: atomic { cancel_row != 0 && !cancelled -> cancelled = true }       /* the notice */
  :: atomic { UP && call == NONE ->
       if :: !loading -> call = WATCH :: call = PAGE fi;
       call_rev = rev; call_gone = gone }
  /* The reply may lack what was stored since the call was sent. */
  :: atomic { call == WATCH && UP ->
#ifdef MUT_STALE                /* ... or before */
       upto = after;
#else
       upto = MAX(after, call_rev);
#endif
       do :: upto < rev -> upto++ :: break od;
       if :: cancel_row > after && cancel_row <= upto -> cancelled = true :: else fi;
#ifdef MUT_REVISION             /* an empty reply's revision may include a change that it lacks */
       if :: upto == after -> upto = rev :: else fi;
#endif
#ifdef MUT_AS_OF                /* ... or that of a reply with another change */
       if :: upto > after -> upto = rev :: else fi;
#endif
       after = upto; upto = 0; seen() }
  :: atomic { call == PAGE ->
       if :: cancel_row > 0 && cancel_row <= call_rev -> cancelled = true :: else fi;
       loading = false; after = MAX(after, call_rev); seen() }
  :: atomic { call != NONE -> end_call() }
  :: atomic { UP && known != table ->
       gone = gone || ((known & 1) && !(table & 1)); known = table; end_query() }
  /* The question to all members that it knows, and their answers. */
  :: atomic { !query && !loading -> query = true }
  :: atomic { query && (known & ~answers & 1) ->
       answers = answers | 1; cancelled = cancelled || (recorded && taker == 0) }
  :: atomic { query && (known & ~answers & 2) ->
       answers = answers | 2; cancelled = cancelled || (recorded && taker == 1) }
  :: atomic { query && ANSWERED && COMPLETE -> age = MIN(age, query_age); end_query() }
  :: atomic { query -> end_query() }
  /* A successor, which reads the table and then the inbox. */
  :: atomic { UP && !loading ->
       loading = true; cancelled = false; age = OLD; after = rev; known = table; gone = false;
       end_call(); end_query() }
  :: atomic { job_row != 0 && !cancelled && !loading && FRESH ->
       assert(cancel != ACKED || acked_age <= BOUND);
#ifdef REACH                    /* a start long after the store went away, by the members' word */
       assert(!(away && away_age == OLD && cancel == NEW && known == REACH));
#endif
     }
  od
}

init { atomic { if :: table = 3; known = 3; greeted = true :: skip fi;
  run World(); run Cancel(); run Owner() } }
