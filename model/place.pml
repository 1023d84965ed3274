/*
 * Ownership, fencing, dispatch, release and takeover of one rack.
 *
 * Two members (0 and 1), two workers of one rack, one ownership row in the KV, and one piece of work
 * (a request, or an attempt of a task), which may be dispatched again and again. Every step of a
 * process is one atomic choice; between two steps anything else may happen, so that a pause, a
 * delay and a slow link are all the same: the step just comes late.
 *
 * Two assumptions about workers are checked, each by itself:
 *   -DW1  a worker refuses an epoch lower than the highest it has seen. There is no clock: a lease
 *         may lapse, and a message may arrive, at any time whatever.
 *   -DW2  a worker refuses a dispatch after the not-after time that it carries; its clock is off by
 *         DW at most. A member's clock loses at most DM over a lease.
 *
 * Time (W2 only) is a set of counters of ticks left; Clock counts them down. A timer of a member is
 * set with a margin for its own clock's drift; the margin and the drift are both left out here.
 *
 * Invariants, as assertions: OnePlace, OneWriter, NotRunIsTrue.
 * -DMUT_... leaves a guard out; -DREACH_... claims that a good thing never happens. Spin must refute
 * each of these (see model/check).
 */

#define NONE 2                  /* no member */
/* W1 fences each worker by itself, so it needs two; with W2 a second one would behave like the
 * first, and two runs at one worker break OnePlace just as well. */
#ifdef W1
#define WORKERS 2
#define EPOCHS 3                /* the owners that the row has, one after another */
#else
#define WORKERS 1
#define EPOCHS 2
#endif

#define LEASE 3                 /* ticks of a KV lease */
#ifndef FLIGHT
#define FLIGHT 2                /* ticks from the owner's check to a dispatch's not-after time */
#endif
#ifndef RUN
#define RUN 1                   /* ticks that a worker runs the work without a renewal */
#endif
#define DM 1                    /* what a member's clock loses over a lease */
#define DW 1                    /* what a worker's clock is off */

/* Phases of a member. */
#define OUT 0                   /* owns nothing */
#define TAKE_SENT 1             /* compare-and-swap of the row is on its way */
#define TAKE_DONE 2             /* it took effect; the answer is on its way */
#define TAKE_REFUSED 3          /* it was refused; the answer is on its way */
#define TAKE_UNSURE 4           /* no answer came */
#define WAIT 5                  /* owns the row; waits out what the owner before may have sent */
#define READ 6                  /* reads what runs on each worker (W1: and fences it) */
#define SERVE 7                 /* dispatches */
#define FREE_SENT 8             /* compare-and-swap that releases the row is on its way */
#define FREE_DONE 9
#define FREE_UNSURE 10

/* The KV: the row, and the members' leases. */
byte owner = 0;
byte epoch = 1;
byte lease[2] = LEASE;

/* Members. */
byte phase[2] = OUT;
byte held[2];                   /* the epoch that it holds, or asks for */
byte from[2];                   /* the owner that its compare-and-swap expects */
byte sure[2];                   /* its lease by its own count, from before the renewal was sent */
byte slack[2] = DM;             /* what its clock may yet lose over that lease */
byte renew[2];                  /* renewal: 0 none, 1 sent, 2 done, 3 refused */
byte next[2];                   /* the lease that the renewal will give, counted from its sending */
byte nextslack[2];
byte timer[2];                  /* what it waits out */
bool read0[2]; bool read1[2];   /* which workers it has read */
bool ghost[2];                  /* a write that it gave up may still take effect */
byte gheld[2]; byte gfrom[2]; bool gfree[2];

/* The ledger of a member: whether the work may be running, where, and how long at most. */
bool busy[2];
byte where[2];
byte left[2];
byte check[2];                  /* between check and send: ticks to the not-after time, plus 1 */

/* Planned handover: the ledger on its way from the member that releases. */
byte hand;                      /* the epoch that it was held under; 0 none */
bool hbusy; byte hwhere; byte hleft;
bool handed;                    /* one has been taken up */

/* Dispatches on their way, by member and worker: epoch (0 none), ticks to not-after, and whether the
 * caller has been told "not run". */
byte msg[4]; byte after[4]; bool told[4];

/* Workers. */
byte high[2];                   /* the highest epoch seen (W1) */
byte work[2];                    /* ticks until the work's lease ends there; 0 runs nothing */
byte by[2];                     /* the member whose connection waits for the answer */

/* OneWriter's memory: who has dispatched under an epoch. */
byte writer[4] = NONE;

#ifdef W2
/* The row changes its owner once, so that nobody can follow member 1: what its lease would forbid
 * is allowed to it, which only adds behaviours, and its timers are left out. */
#define ALIVE(m) (m == 1 || sure[m] > 0)
#define LAPSED(m) (m == 0 && lease[m] == 0)
#ifdef MUT_LEASE                /* an owner dispatches without looking at its lease */
#define MAY_SEND(m) true
#else
#define MAY_SEND(m) (m == 1 || sure[m] > 0)
#endif
#ifdef MUT_WAIT                 /* the new owner does not wait */
#define WAITING 0
#else
#ifdef MUT_DRIFT                /* ... or leaves the drift out */
#define WAITING FLIGHT
#else
#ifdef MUT_FLIGHT               /* ... or the flight */
#define WAITING (DM + DW)
#else
#define WAITING (FLIGHT + DM + DW)
#endif
#endif
#endif
#else
#define ALIVE(m) true
#define LAPSED(m) true
#define MAY_SEND(m) true
#define WAITING 0
#endif

#define MSG(m, w) ((m) * 2 + (w))

inline drop(m) {
  phase[m] = OUT; held[m] = 0; from[m] = 0; busy[m] = false; where[m] = 0; left[m] = 0;
  check[m] = 0; timer[m] = 0; read0[m] = false; read1[m] = false
}

/* The member owns the row under held[m], and knows nothing of what runs. */
inline own(m) {
  phase[m] = WAIT; timer[m] = WAITING; from[m] = 0; busy[m] = false;
  where[m] = 0; left[m] = 0;
  read0[m] = false; read1[m] = false
}

inline give_up_write(m, free) {
  ghost[m] = true; gheld[m] = held[m]; gfrom[m] = from[m]; gfree[m] = free
}

/* The KV's compare-and-swap of the row. */
inline swap(who, at, to) {
#ifdef MUT_CAS                  /* the row is written without a comparison */
  if
  :: true -> owner = to; epoch = at; done = true
  fi
#else
  if
  :: owner == who && (to == NONE && epoch == at || to != NONE && epoch + 1 == at) ->
       owner = to; epoch = at; done = true
  :: else -> done = false
  fi
#endif
}

proctype Member(byte m) {
  byte w; bool done;
end:
  do
#ifdef W2
  /* -- The KV lease. It is counted from before the renewal was sent. -- */
  :: atomic { m == 0 && renew[m] == 0 && lease[m] > 0 && phase[m] != OUT ->
       renew[m] = 1; next[m] = LEASE; nextslack[m] = DM }
  :: atomic { renew[m] == 1 ->
       if
       :: lease[m] > 0 -> lease[m] = LEASE; renew[m] = 2      /* a lapsed lease is gone */
       :: else -> renew[m] = 3
       fi }
  :: atomic { renew[m] == 2 ->
#ifdef MUT_RENEW                /* the lease is counted from the answer */
       sure[m] = LEASE; slack[m] = DM;
#else
       if
       :: next[m] > sure[m] -> sure[m] = next[m]; slack[m] = nextslack[m]
       :: else
       fi;
#endif
       renew[m] = 0; next[m] = 0; nextslack[m] = 0 }
  :: atomic { renew[m] == 3 -> renew[m] = 0; next[m] = 0; nextslack[m] = 0; sure[m] = 0; drop(m) }
  /* The answer is lost. */
  :: atomic { renew[m] != 0 -> renew[m] = 0; next[m] = 0; nextslack[m] = 0 }
#endif

  /* -- Takeover, when the owner's lease has lapsed, or the row is released. -- */
  :: atomic { phase[m] == OUT && ALIVE(m) && owner != m && epoch < EPOCHS && !ghost[m] &&
              (owner == NONE || LAPSED(1 - m)) ->
       from[m] = owner; held[m] = epoch + 1; phase[m] = TAKE_SENT }
  :: atomic { phase[m] == TAKE_SENT ->
       swap(from[m], held[m], m);
       if
       :: done -> phase[m] = TAKE_DONE
       :: else -> phase[m] = TAKE_REFUSED
       fi; done = false }
  :: atomic { phase[m] == TAKE_REFUSED -> drop(m) }
  :: atomic { phase[m] == TAKE_DONE ->
       if
#ifdef W2
       /* The ledger came along: nothing has to be waited out. */
       :: hand != 0 && hand + 1 == held[m] && from[m] == NONE ->
            own(m); timer[m] = 0; phase[m] = SERVE; handed = true;
#ifndef MUT_HANDOVER            /* (the ledger that came along is not used) */
            busy[m] = hbusy; where[m] = hwhere; left[m] = hleft;
#endif
            hand = 0; hbusy = false; hwhere = 0; hleft = 0
#endif
       :: else -> own(m)
       fi }
  /* The answer is lost; the write took effect, or will, or never will. */
  :: atomic { phase[m] == TAKE_SENT -> give_up_write(m, false); phase[m] = TAKE_UNSURE }
  :: atomic { phase[m] == TAKE_DONE || phase[m] == TAKE_REFUSED -> phase[m] = TAKE_UNSURE }
  :: atomic { phase[m] == TAKE_UNSURE ->
#ifdef MUT_LOST                 /* it is taken to have had its effect */
       own(m)
#else
       if
       :: owner == m && epoch == held[m] -> own(m)
       :: else -> drop(m)
       fi
#endif
       }
  /* A write that was given up has made it the owner after all. */
  :: atomic { phase[m] == OUT && ALIVE(m) && owner == m -> held[m] = epoch; own(m) }
  :: atomic { ghost[m] ->
       if
       :: gfree[m] -> swap(m, gheld[m], NONE)
       :: else -> swap(gfrom[m], gheld[m], m)
       fi;
       ghost[m] = false; gheld[m] = 0; gfrom[m] = 0; gfree[m] = false; done = false }
  :: atomic { ghost[m] -> ghost[m] = false; gheld[m] = 0; gfrom[m] = 0; gfree[m] = false }

  /* -- The new owner waits, then reads each worker. -- */
#ifdef MUT_READ_EARLY           /* a report from before the end of the wait is believed */
  :: atomic { phase[m] == WAIT -> phase[m] = READ }
#else
  :: atomic { phase[m] == WAIT && timer[m] == 0 -> phase[m] = READ }
#endif
#ifdef W2
  :: atomic { phase[m] == READ && !read0[m] ->
       read0[m] = true; read1[m] = true;
       if
       :: work[0] > 0 -> busy[m] = true; where[m] = 0; left[m] = RUN + DW
       :: else
       fi }
#else
  :: atomic { phase[m] == READ && !(read0[m] && read1[m]) ->
       if
       :: !read0[m] -> w = 0; read0[m] = true
       :: !read1[m] -> w = WORKERS - 1; read1[m] = true
       fi;
       if
       :: high[w] > held[m] -> drop(m)      /* a later owner has fenced it */
       :: else ->
#ifndef MUT_FENCE               /* (the worker is read without being fenced) */
            high[w] = held[m];
#endif
            if
            :: work[w] > 0 -> busy[m] = true; where[m] = w; left[m] = RUN + DW
            :: else
            fi
       fi; w = 0 }
#endif
  :: atomic { phase[m] == READ && read0[m] && read1[m] && timer[m] == 0 ->
       phase[m] = SERVE; read0[m] = false; read1[m] = false }

  /* -- Dispatch: the check, then the send; a pause may come between. -- */
  :: atomic { phase[m] == SERVE && !busy[m] && MAY_SEND(m) ->
       if :: where[m] = 0 :: WORKERS == 2 -> where[m] = 1 fi;
       busy[m] = true; left[m] = FLIGHT + DW + RUN + DW; check[m] = FLIGHT + DW + 1 }
  :: atomic { check[m] > 0 && msg[MSG(m, where[m])] == 0 ->
       w = MSG(m, where[m]); msg[w] = held[m]; told[w] = false;
#ifdef MUT_STAMP                /* the not-after time is taken when the message is sent */
       after[w] = FLIGHT + DW;
#else
       after[w] = check[m] - 1;
#endif
       check[m] = 0; w = 0;
       assert(writer[held[m]] == NONE || writer[held[m]] == m);   /* OneWriter */
       writer[held[m]] = m }

  /* -- The end of it: a stop that the worker confirms, a report, or the lapse of its lease. -- */
#ifdef W1
  /* With W1 the worker remembers the stop and refuses a start of the same attempt afterwards. */
  :: atomic { phase[m] == SERVE && busy[m] && check[m] == 0 ->
       w = where[m];
       if
       :: high[w] > held[m] -> drop(m)
       :: else -> work[w] = 0; by[w] = 0; busy[m] = false; where[m] = 0; left[m] = 0;
#ifndef MUT_STOP
                  msg[MSG(m, w)] = 0; told[MSG(m, w)] = false
#endif
       fi; w = 0 }
#else
  /* With W2 it proves the end only once no start can arrive any more. */
#ifdef MUT_STOP
  :: atomic { phase[m] == SERVE && busy[m] && check[m] == 0 ->
#else
  :: atomic { phase[m] == SERVE && busy[m] && check[m] == 0 && left[m] <= RUN + DW ->
#endif
       work[where[m]] = 0; by[where[m]] = 0;
       busy[m] = false; where[m] = 0; left[m] = 0 }
#endif
#ifdef W2
#ifdef MUT_ABSENT               /* absence from a report proves, though the dispatch is on its way */
  :: atomic { phase[m] == SERVE && busy[m] && check[m] == 0 && work[where[m]] == 0 ->
#else
  :: atomic { phase[m] == SERVE && busy[m] && check[m] == 0 && work[where[m]] == 0 &&
              left[m] <= RUN + DW ->
#endif
       busy[m] = false; where[m] = 0; left[m] = 0 }
#ifdef MUT_LAPSE                /* a silent connection is taken for an end */
  :: atomic { phase[m] == SERVE && busy[m] && check[m] == 0 ->
       busy[m] = false; where[m] = 0; left[m] = 0 }
#else
  :: atomic { phase[m] == SERVE && busy[m] && check[m] == 0 && left[m] == 0 ->
       busy[m] = false; where[m] = 0 }
#endif
#endif
#ifdef MUT_SILENT               /* the caller hears "not run" of a dispatch that may yet arrive */
  :: atomic { busy[m] && msg[MSG(m, where[m])] != 0 -> told[MSG(m, where[m])] = true }
#endif

  /* -- Planned release: first no dispatch any more, then the row, then the ledger. -- */
  :: atomic { phase[m] == SERVE && check[m] == 0 && epoch < EPOCHS && !ghost[m] ->
       phase[m] = FREE_SENT }
  :: atomic { phase[m] == FREE_SENT ->
       swap(m, held[m], NONE);
       if
       :: done -> phase[m] = FREE_DONE
       :: else -> drop(m)
       fi; done = false }
  :: atomic { phase[m] == FREE_DONE ->
       if
       :: hand = held[m]; hbusy = busy[m]; hwhere = where[m]; hleft = left[m]
       :: true                             /* the handover is lost */
       fi;
       drop(m) }
  :: atomic { phase[m] == FREE_SENT && !ghost[m] ->
       give_up_write(m, true); phase[m] = FREE_UNSURE }
  :: atomic { phase[m] == FREE_DONE -> phase[m] = FREE_UNSURE }
  :: atomic { phase[m] == FREE_UNSURE ->
       if
#ifdef MUT_RELEASE              /* it goes on, though its release may yet take effect */
       :: owner == m && epoch == held[m] -> phase[m] = SERVE
#else
       :: owner == m && epoch == held[m] -> phase[m] = FREE_SENT
#endif
       :: else -> drop(m)
       fi }
  od
}

proctype Worker(byte w) {
  byte m;
end:
  do
  :: atomic { msg[MSG(0, w)] > 0 || msg[MSG(1, w)] > 0 ->
       if :: msg[MSG(0, w)] > 0 -> m = 0 :: msg[MSG(1, w)] > 0 -> m = 1 fi;
       if
#ifdef W1
#ifndef MUT_EPOCH               /* (the worker takes any epoch) */
       :: msg[MSG(m, w)] < high[w] ->
            /* Refused: it did not run, and its owner learns that another has come, or not. */
            if
#ifdef MUT_REFUSAL              /* the refusal of an earlier epoch's dispatch counts for this one */
            :: phase[m] == SERVE -> drop(m)
#else
            :: phase[m] == SERVE && msg[MSG(m, w)] == held[m] -> drop(m)
#endif
            :: true
            fi
#endif
#endif
#ifdef W2
#ifndef MUT_NOT_AFTER           /* (the worker takes a dispatch however late) */
       :: after[MSG(m, w)] == 0 ->
            if
            :: phase[m] == SERVE && busy[m] && where[m] == w && check[m] == 0 ->
                 busy[m] = false; where[m] = 0; left[m] = 0
            :: true
            fi
#endif
#endif
       :: (
#ifdef W1
#ifndef MUT_EPOCH
           msg[MSG(m, w)] >= high[w] &&
#endif
#endif
#ifdef W2
#ifndef MUT_NOT_AFTER
           after[MSG(m, w)] > 0 &&
#endif
#endif
           true) ->
            assert(work[0] == 0 && work[1] == 0);                   /* OnePlace */
            assert(!told[MSG(m, w)]);                             /* NotRunIsTrue */
#ifdef REACH_TAKEOVER           /* the work runs under another owner */
            assert(!(msg[MSG(m, w)] == 2 && m == 1));
#endif
#ifdef REACH_BACK               /* ... and again under the first one */
            assert(!(msg[MSG(m, w)] == 3 && m == 0));
#endif
#ifdef REACH_HANDOVER           /* ... with a handover */
            assert(!(handed && m == 1));
#endif
            work[w] = RUN + DW; by[w] = m;
#ifdef W1
            if :: msg[MSG(m, w)] > high[w] -> high[w] = msg[MSG(m, w)] :: else fi
#endif
       fi;
       msg[MSG(m, w)] = 0; after[MSG(m, w)] = 0; told[MSG(m, w)] = false; m = 0 }
  /* A dispatch is lost. */
  :: atomic { msg[MSG(0, w)] > 0 ->
       msg[MSG(0, w)] = 0; after[MSG(0, w)] = 0; told[MSG(0, w)] = false }
  :: atomic { msg[MSG(1, w)] > 0 ->
       msg[MSG(1, w)] = 0; after[MSG(1, w)] = 0; told[MSG(1, w)] = false }
  /* The work ends; the answer reaches the member whose connection waits, or is lost. */
  :: atomic { work[w] > 0 ->
       work[w] = 0; m = by[w];
       if
       :: phase[m] == SERVE && busy[m] && where[m] == w && check[m] == 0 &&
          msg[MSG(m, w)] == 0 -> busy[m] = false; where[m] = 0; left[m] = 0
       :: true
       fi;
       by[w] = 0; m = 0 }
  od
}

#ifdef W2
#define DOWN(x) if :: x > 0 -> x = x - 1 :: else fi

/* A member's clock counts its lease down, or loses this tick. */
inline lose(m) {
  if
  :: DOWN(sure[m]); DOWN(next[m])
  :: (sure[m] == 0 || slack[m] > 0) && (next[m] == 0 || nextslack[m] > 0) &&
     (sure[m] > 0 || next[m] > 0) ->
       if :: sure[m] > 0 -> slack[m] = slack[m] - 1 :: else fi;
       if :: next[m] > 0 -> nextslack[m] = nextslack[m] - 1 :: else fi
  fi;
  if :: sure[m] == 0 -> slack[m] = 0 :: else fi;
  if :: next[m] == 0 -> nextslack[m] = 0 :: else fi
}

proctype Clock() {
end:
  do
  :: atomic { true ->
       DOWN(lease[0]); lose(0);
       DOWN(timer[0]); DOWN(timer[1]); DOWN(left[0]); DOWN(left[1]); DOWN(hleft);
       if :: check[0] > 1 -> check[0] = check[0] - 1 :: else fi;
       if :: check[1] > 1 -> check[1] = check[1] - 1 :: else fi;
       DOWN(after[0]); DOWN(after[2]); DOWN(work[0]);
       if :: work[0] == 0 -> by[0] = 0 :: else fi }
  od
}
#endif

init {
  atomic {
    phase[0] = SERVE; held[0] = 1; sure[0] = LEASE; sure[1] = LEASE;
    run Member(0); run Member(1); run Worker(0);
#ifdef W1
    run Worker(1)
#else
    run Clock()
#endif
  }
}
