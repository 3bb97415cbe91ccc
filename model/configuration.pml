/*
 * One record of the configuration: conditional writes, and processes that never go back.
 *
 * Two operators each make one edit. The document is the set of edits that it holds. A write is
 * conditional on the revision that the operator has read; its answer may be lost, and the write
 * itself may be late. Processes take the record from the store or from each other; any revision
 * that was ever accepted may reach any process at any time (a stale read, a late watch, a slow
 * peer), as often as STALE allows. The store may go away for good, and a process may be parted.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_ANY_ORDER   a process takes what it is told, whatever it holds
 *   MUTANT_BLIND       after a lost answer an operator writes its document at the present revision
 *   MUTANT_REPEAT      after a lost answer an operator makes the edit again without settling it
 *   MUTANT_DENY        after a lost answer the record's token alone decides that nothing was written
 *   MUTANT_NO_REPAIR   processes tell each other of changes once and never compare digests
 */

#define OPERATORS 2
#define PROCESSES 3
#define STALE 2
#define PARTS 1

/* Steps of an operator. */
#define reading 0
#define writing 1      /* the write is on its way */
#define settling 2     /* the answer is lost */
#define accepted 3
#define uncertain 4
#define conflicted 5

byte revision;
byte document;              /* bit set of edits */
byte token;                 /* writer of the present revision plus one */
bool away;                  /* the store is away */

byte step[OPERATORS];
byte base[OPERATORS];       /* revision read */
byte draft[OPERATORS];      /* document to write */
byte tries[OPERATORS];
bool resent[OPERATORS];     /* an earlier send of the write may still take effect */

byte holds[PROCESSES];      /* revision held */
bool parted[PROCESSES];     /* from the store and its peers */
byte stale;
byte parts;

bool told[PROCESSES];       /* of MUTANT_NO_REPAIR: told once of the newest revision */

byte edits[OPERATORS];      /* ghost: times an operator's edit took effect */
byte before;                /* ghost */

hidden byte p;

inline any_process(x) {
    if
    :: x = 0
    :: x = 1
    :: x = 2
    fi
}

/* The store's side of a conditional write. */
inline store_takes(w) {
    assert((document & draft[w]) == document);
    revision++;
    document = draft[w];
    token = w + 1;
    edits[w]++;
    assert(edits[w] <= 1);
    told[0] = false;
    told[1] = false;
    told[2] = false
}

inline give_up(w) {
    base[w] = 0;
    draft[w] = 0
}

inline read_record(w) {
    base[w] = revision;
    draft[w] = document | (1 << w);
    step[w] = writing
}

inline settle(w) {
    if
#ifdef MUTANT_BLIND
    :: true -> base[w] = revision; step[w] = writing
#elif defined(MUTANT_REPEAT)
    :: true -> read_record(w)
#elif defined(MUTANT_DENY)
    :: token == w + 1 -> step[w] = accepted; give_up(w)
    :: token != w + 1 && tries[w] < 2 -> read_record(w)
    :: token != w + 1 && tries[w] >= 2 -> step[w] = uncertain; give_up(w)
#else
    :: token == w + 1 -> step[w] = accepted; give_up(w)
    /* Nothing was written so far: the same write under the same condition is safe. */
    :: token != w + 1 && revision == base[w] -> step[w] = writing
    :: token != w + 1 && revision != base[w] -> step[w] = uncertain; give_up(w)
#endif
    fi
}

inline apply(x, offered) {
    before = holds[x];
#ifdef MUTANT_ANY_ORDER
    holds[x] = offered;
#else
    if
    :: offered > holds[x] -> holds[x] = offered
    :: else
    fi;
#endif
    assert(holds[x] >= before)
}

#define OPERATOR(w) \
    :: atomic { step[w] == reading && !away && tries[w] < 2 -> tries[w]++; read_record(w) } \
    :: atomic { step[w] == writing && !away && revision == base[w] -> \
        store_takes(w); \
        if \
        :: step[w] = accepted; give_up(w) \
        :: step[w] = settling \
        fi } \
    :: atomic { step[w] == writing && !away && revision != base[w] -> \
        if \
        /* A repeated write that conflicts may have been accepted before: it has to be settled. */ \
        :: tries[w] < 2 && !resent[w] -> step[w] = reading \
        :: tries[w] >= 2 && !resent[w] -> step[w] = conflicted; give_up(w) \
        :: resent[w] -> step[w] = settling \
        fi } \
    :: atomic { step[w] == writing && !resent[w] -> resent[w] = true; step[w] = settling } \
    :: atomic { step[w] == settling && !away -> resent[w] = true; settle(w) }

/* A write whose answer is lost may reach the store late, while the operator settles it. */
#define LATE(w) \
    :: atomic { (step[w] == settling || step[w] == writing) && resent[w] && !away && base[w] != 0 && \
        revision == base[w] -> store_takes(w) }

#define PULL(x, y) \
    :: atomic { !parted[x] && !parted[y] && holds[y] > holds[x] -> apply(x, holds[y]) }

active proctype system() {
    revision = 1;
    holds[0] = 1;
    holds[1] = 1;
    holds[2] = 1;
    do
    OPERATOR(0)
    OPERATOR(1)
    LATE(0)
    LATE(1)
    /* Process 0 watches the store. */
    :: atomic { !away && !parted[0] && holds[0] < revision -> apply(0, revision) }
#ifdef MUTANT_NO_REPAIR
    /* Process 0 tells a peer once, and doesn't know whether the peer was there to hear it. */
    :: atomic { holds[0] == revision && !told[1] -> told[1] = true;
        if
        :: !parted[0] && !parted[1] -> apply(1, holds[0])
        :: else
        fi }
    :: atomic { holds[0] == revision && !told[2] -> told[2] = true;
        if
        :: !parted[0] && !parted[2] -> apply(2, holds[0])
        :: else
        fi }
#else
    /* Peers compare digests and pull what is newer. */
    PULL(0, 1)
    PULL(0, 2)
    PULL(1, 0)
    PULL(1, 2)
    PULL(2, 0)
    PULL(2, 1)
#endif
    /* Any revision ever accepted reaches any process. */
    :: atomic { stale < STALE ->
        stale++;
        any_process(p);
        if
        :: true -> apply(p, 1)
        :: revision >= 2 -> apply(p, 2)
        :: revision >= 3 -> apply(p, 3)
        fi }
    :: atomic { parts < PARTS ->
        parts++;
        any_process(p);
        parted[p] = true }
    :: atomic { parted[0] -> parted[0] = false }
    :: atomic { parted[1] -> parted[1] = false }
    :: atomic { parted[2] -> parted[2] = false }
    :: atomic { !away -> away = true }
    :: else -> break
    od;
    /* What the operators were told is true, and all processes hold the same. */
    assert(step[0] != accepted || edits[0] == 1);
    assert(step[1] != accepted || edits[1] == 1);
    assert(step[0] != conflicted || edits[0] == 0);
    assert(step[1] != conflicted || edits[1] == 0);
    assert(holds[0] == holds[1] && holds[1] == holds[2]);
    assert(away || holds[0] == revision)
}
