/*
 * What lasts in the KV: the claims on a key of non-idempotent requests (-DCLAIMS), and the
 * configuration (-DCONFIG). Each part is checked by itself; they share no state.
 *
 * Every step is one atomic choice, so that a pause, a delay and a slow link are all the same. A KV
 * call has its effect at any time after it was sent, also after it was given up; its answer may be
 * lost.
 *
 * Invariants, as assertions: AtMostOnce and NotRunIsTrue (claims), NoRevert (configuration).
 * -DMUT_... leaves a guard out; -DREACH_... claims that a good thing never happens. Spin must refute
 * each of these (see model/check).
 */

#ifdef CLAIMS
/*
 * One key, two members that own its bucket one after the other (0 under epoch 1, 1 under epoch 2,
 * with no word between them), and requests with this key, 1 and up (0 is none). The owners are src/commit.rs and
 * src/claims.rs; the entries do what the documentation of claims asks of them.
 */
#ifndef REQUESTS
#define REQUESTS 2
#endif
#define WRITES 3                /* of each owner */

/* The record: its revision, its writer (an owner + 1; 0 none), the writer's count, the claim. */
byte rev; byte writer; byte serial; byte claim;

/* An owner's copy of the record. */
#define UNREAD 0
#define IDLE 1
#define WRITING 2
#define LOST 3
byte state[2] = UNREAD;
bool ready[2];                  /* the record is its own */
bool dirty[2];
byte base[2];                   /* the revision that the next write expects */
byte sent[2]; byte done[2];     /* writes sent, and known to be done */
byte mine[2];                   /* the claim */
byte ticket[2];                 /* the write that has to be done before it is granted; 0 none */

/* The owner's write on its way, still waited for or given up, and its answer. */
bool fly[2]; bool wanted[2]; byte fbase[2]; byte fserial[2]; byte fclaim[2];
byte answer[2]; byte arev[2];   /* 0 none, 1 done, 2 refused */

byte off[2];                    /* the requests that the owner has told off, a bit for each */
#define BIT(r) (1 << (r))

/* What a request is to its entry. */
#define NEW 0
#define ASKED 1
#define SENT 2                  /* dispatched: it may run */
#define ENDED 3                 /* it ran, or may have */
#define NOT_RUN 4               /* the caller was told so, or that another holds the key */
byte fate[4] = NEW;
byte ask[4];                    /* its ask is on its way to this owner + 1 */
bool end[4];                    /* its end "not run" is sent, again and again */

#define HOLDS(r) (fate[r] == SENT || fate[r] == ENDED)

/* The verdict "granted" of owner o comes to the entry of request g. */
inline granted(o, g) {
  assert(!(off[o] & BIT(g)));                                     /* NotRunIsTrue, at the owner */
  if
#ifdef MUT_LATE                 /* a grant counts though the caller was told "not run" */
  :: fate[g] == ASKED || fate[g] == NOT_RUN ->
#else
  :: fate[g] == ASKED ->
#endif
       assert(fate[g] != NOT_RUN);                                /* NotRunIsTrue */
       assert(!HOLDS(1) && !HOLDS(2) && !HOLDS(3));               /* AtMostOnce */
#ifdef REACH_REPEAT             /* a repeat runs after the first was told off */
       assert(!(g == 2 && fate[1] == NOT_RUN && (off[0] & BIT(1))));
#endif
#ifdef REACH_NEXT               /* a repeat runs under the second owner */
       assert(!(o == 1 && g == 2 && fate[1] == NOT_RUN));
#endif
       fate[g] = SENT
  :: else -> end[g] = (fate[g] == NOT_RUN)
  fi
}

/* A verdict that says "not run" comes to the entry. */
inline refused(g) {
  if
  :: fate[g] == ASKED -> fate[g] = NOT_RUN; end[g] = true
  :: else
  fi
}

/* The owner learns that its writes up to n are done. */
inline landed(o, n) {
  state[o] = IDLE; ready[o] = true;
  if :: n > done[o] -> done[o] = n :: else fi;
  if :: done[o] < sent[o] -> dirty[o] = true :: else fi;
  if
#ifdef MUT_COMMIT               /* granted though the claim's write is not done */
  :: ticket[o] != 0 ->
#else
  :: ticket[o] != 0 && ticket[o] <= done[o] ->
#endif
       ticket[o] = 0; granted(o, mine[o])
  :: else
  fi
}

proctype Owner(byte o) {
  byte r;
endowner:
  do
  /* Read: at first, and after a write without an answer or refused. */
  :: atomic { state[o] == UNREAD ->
       if
       :: writer > o + 1 ->                 /* another owner has the bucket */
            state[o] = LOST;
            if
            :: ticket[o] != 0 -> off[o] = off[o] | BIT(mine[o]); refused(mine[o])
            :: else
            fi;
            ticket[o] = 0; mine[o] = 0; dirty[o] = false
       :: writer == o + 1 -> base[o] = rev; landed(o, serial)
       :: writer < o + 1 ->                 /* adopt what the owner before left */
            base[o] = rev; mine[o] = claim; ticket[o] = 0; dirty[o] = true; state[o] = IDLE
       fi }
  /* Write; what changes meanwhile goes into the next write. */
  :: atomic { state[o] == IDLE && dirty[o] && sent[o] < WRITES && !fly[o] ->
       sent[o] = sent[o] + 1; dirty[o] = false; state[o] = WRITING;
       fly[o] = true; wanted[o] = true;
       fbase[o] = base[o]; fserial[o] = sent[o]; fclaim[o] = mine[o] }
  /* The KV compares and swaps. */
  :: atomic { fly[o] ->
       if
#ifdef MUT_CAS                  /* the record is written without a comparison */
       :: true ->
#else
       :: rev == fbase[o] ->
#endif
            rev = rev + 1; writer = o + 1; serial = fserial[o]; claim = fclaim[o];
            if :: wanted[o] -> answer[o] = 1; arev[o] = rev :: else fi
#ifndef MUT_CAS
       :: else -> if :: wanted[o] -> answer[o] = 2 :: else fi
#endif
       fi;
       fly[o] = false; wanted[o] = false; fbase[o] = 0; fserial[o] = 0; fclaim[o] = 0 }
  :: atomic { answer[o] == 1 ->
       answer[o] = 0; base[o] = arev[o]; arev[o] = 0; landed(o, sent[o]) }
  :: atomic { answer[o] == 2 -> answer[o] = 0; state[o] = UNREAD }
  /* The answer is lost, before the effect or after. */
  :: atomic { state[o] == WRITING ->
       wanted[o] = false; answer[o] = 0; arev[o] = 0;
#ifdef MUT_BLIND                /* it is taken for a success */
       landed(o, sent[o])
#else
       state[o] = UNREAD
#endif
       }
  /* The KV has not answered for too long: the ask is told off, and its claim goes. */
  :: atomic { ticket[o] != 0 ->
       off[o] = off[o] | BIT(mine[o]); refused(mine[o]);
#ifndef MUT_KV_DOWN             /* (the claim stays, and is granted when the KV is back) */
       mine[o] = 0; ticket[o] = 0;
#endif
       dirty[o] = true }
  /* An ask arrives; before the record is its own, the owner holds it back. */
  :: atomic { (ready[o] || state[o] == LOST) &&
              (ask[1] == o + 1 || ask[2] == o + 1 || ask[3] == o + 1) ->
       if
       :: ask[1] == o + 1 -> r = 1
       :: ask[2] == o + 1 -> r = 2
       :: ask[3] == o + 1 -> r = 3
       fi;
       ask[r] = 0;
       if
       :: state[o] == LOST -> off[o] = off[o] | BIT(r); refused(r)
#ifdef MUT_KNOWN                /* a known key is not looked up */
       :: else -> mine[o] = r; ticket[o] = sent[o] + 1; dirty[o] = true
#else
       :: state[o] != LOST && mine[o] == 0 ->
            mine[o] = r; ticket[o] = sent[o] + 1; dirty[o] = true
       :: state[o] != LOST && mine[o] != 0 ->          /* running, answered or unknown */
            if :: fate[r] == ASKED -> fate[r] = NOT_RUN :: else fi
#endif
       fi;
       r = 0 }
  /* An end "not run" arrives. */
  :: atomic { ready[o] && state[o] != LOST && mine[o] != 0 && (end[1] || end[2] || end[3]) ->
#ifdef MUT_END                  /* it is taken from another request than the claim's */
       mine[o] = 0; ticket[o] = 0; dirty[o] = true
#else
       if
       :: end[mine[o]] -> mine[o] = 0; ticket[o] = 0; dirty[o] = true
       :: else
       fi
#endif
       }
  od
}

proctype Entry(byte r) {
endentry:
  do
  /* A caller's repeat comes after the first, to whichever member and owner. */
  :: atomic { fate[r] == NEW && (r == 1 || fate[r - 1] != NEW) ->
       fate[r] = ASKED;
       if :: ask[r] = 1 :: ask[r] = 2 fi }
  /* No verdict in time: the ask, and a grant, may still be on their way. */
  :: atomic { fate[r] == ASKED -> fate[r] = NOT_RUN; end[r] = true }
  /* The endpoint refuses it, or runs it, or the entry dies and nobody knows. */
  :: atomic { fate[r] == SENT -> fate[r] = NOT_RUN; end[r] = true }
  :: atomic { fate[r] == SENT -> fate[r] = ENDED }
#ifdef MUT_SILENT               /* a connection that broke is taken for "not run" */
  :: atomic { fate[r] == SENT -> end[r] = true }
#endif
  od
}

init { atomic { run Owner(0); run Owner(1); run Entry(1); run Entry(2);
  if :: REQUESTS == 3 -> run Entry(3) :: else fi } }
#endif

#ifdef CONFIG
/*
 * Two operators, who edit at the same time, and two members. The KV's reads and watches may be
 * stale; peers tell each other what is in force. A member restarts with nothing.
 */
#define VERSIONS 4

byte version = 1;               /* in the KV */
byte made[5];                   /* which submission made a version (an operator + 1) */

#define EDIT 0
#define SWAP 1                  /* compare-and-swap on its way */
#define TOLD 2                  /* it took effect; the answer is on its way */
#define CLASH 3                 /* it was refused; the answer is on its way */
#define UNSURE 4
byte op[2] = EDIT;
byte seen[2];                   /* the version that the text was edited from */
byte wrote[2];                  /* the version that the submission made, where it did */

byte force[2] = 1;              /* in force at a member; 0 where it has just started */
byte best[2] = 1;               /* the highest that was ever in force there */

/* The operator is told that version v is accepted. */
inline accepted(v) {
  assert(made[v] == o + 1);                           /* NoRevert: it is the one that stands */
#ifdef REACH_ACCEPT             /* both operators' texts are accepted, one after the other */
  assert(!(v == 3 && made[2] == 2 - o));
#endif
  op[o] = EDIT; wrote[o] = 0
}

proctype Operator(byte o) {
endoperator:
  do
  :: atomic { op[o] == EDIT && version < VERSIONS -> seen[o] = version; op[o] = SWAP }
  :: atomic { op[o] == SWAP ->
       if
#ifdef MUT_BASE                 /* the version that was edited from is not compared */
       :: version < VERSIONS ->
            version = seen[o] + 1; made[version] = o + 1; wrote[o] = version; op[o] = TOLD
#else
       :: version == seen[o] ->
            version = version + 1; made[version] = o + 1; wrote[o] = version; op[o] = TOLD
#endif
       :: else -> op[o] = CLASH
       fi }
  :: atomic { op[o] == TOLD -> accepted(wrote[o]) }
  :: atomic { op[o] == CLASH -> op[o] = EDIT }
  /* The answer is lost: read the record, and look whose submission stands there. */
  :: atomic { op[o] == TOLD || op[o] == CLASH -> op[o] = UNSURE }
  :: atomic { op[o] == UNSURE ->
#ifdef MUT_LOST                 /* it is taken for a success */
       accepted(seen[o] + 1)
#else
       if
       :: made[version] == o + 1 && version == seen[o] + 1 -> accepted(version)
       :: else -> op[o] = EDIT; wrote[o] = 0          /* it is told "outcome unknown" */
       fi
#endif
       }
  od
}

/* Version v is heard of at a member. */
inline hear(v) {
  if
#ifdef MUT_DOWN                 /* whatever is heard comes into force */
  :: true ->
#else
  :: v > force[m] ->
#endif
       assert(v >= force[m]);                          /* NoRevert */
#ifdef REACH_FORCE              /* the last version is in force at both */
       assert(!(v == VERSIONS && force[1 - m] == VERSIONS));
#endif
       force[m] = v;
       if :: v > best[m] -> best[m] = v :: else fi
#ifndef MUT_DOWN
  :: else
#endif
  fi
}

proctype Member(byte m) {
  byte v;
endmember:
  do
  /* A watch or a read, which may be stale. */
  :: atomic { force[m] != 0 ->
       v = 1;
       do :: v < version -> v = v + 1 :: break od;
       hear(v); v = 0 }
  /* A peer. */
  :: atomic { force[m] != 0 && force[1 - m] != 0 -> hear(force[1 - m]) }
  /* A restart; it begins with a read that is not stale. */
  :: atomic { force[m] != 0 -> force[m] = 0 }
#ifdef MUT_START                /* ... or with any read */
  :: atomic { force[m] == 0 ->
       v = 1;
       do :: v < version -> v = v + 1 :: break od;
       assert(v >= best[m]);                           /* NoRevert */
       hear(v); v = 0 }
#else
  :: atomic { force[m] == 0 ->
       assert(version >= best[m]);                     /* NoRevert */
       hear(version) }
#endif
  /* A start while the KV is down, from the peer. The version that was in force here before may be
   * known to nobody else; see docs/PROOFS.md. */
  :: atomic { force[m] == 0 && force[1 - m] != 0 ->
       hear(force[1 - m]); best[m] = force[m] }
  od
}

init { atomic { run Operator(0); run Operator(1); run Member(0); run Member(1) } }
#endif
