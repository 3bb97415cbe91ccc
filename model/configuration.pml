/*
 * Conditional writes to one configuration record, and its replication to processes that never
 * replace it by an older revision.
 *
 * Two operators make one edit each; the document is modelled as the set of edits that it contains.
 * A write is conditional on the revision that the operator has read. Its response may be lost, and
 * the write itself may be delayed. Processes receive the record from the store or from each other.
 * Any revision that was ever accepted may reach any process at any time (by a stale read, a delayed
 * watch or a slow peer), up to STALE times. The store may become unreachable for good, and a process
 * may be partitioned from the store and its peers.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_ANY_ORDER   a process applies every revision that it receives, even an older one
 *   MUTANT_BLIND       after a lost response an operator writes its document at the current revision
 *   MUTANT_REPEAT      after a lost response an operator repeats the edit without first determining
 *                      the outcome of the earlier write
 *   MUTANT_DENY        after a lost response an operator concludes from the record's token alone that
 *                      nothing was written
 *   MUTANT_NO_REPAIR   processes push each change once and never compare digests
 */

#define OPERATORS 2
#define PROCESSES 3
#define STALE 2   /* deliveries of old revisions */
#define PARTS 1   /* partitions */

/* States of an operator. */
#define read_pending 0
#define write_in_flight 1
#define outcome_unknown 2   /* the response was lost */
#define reported_accepted 3
#define reported_uncertain 4
#define reported_conflict 5

byte revision;
byte document;              /* edits that the document contains, as a bit set */
byte token;                 /* writer of the current revision plus one */
bool store_unreachable;                  /* the store can't be reached any more */

byte operator_state[OPERATORS];
byte base[OPERATORS];       /* revision that the operator has read */
byte draft[OPERATORS];      /* document that the operator writes */
byte attempts[OPERATORS];
bool resent[OPERATORS];     /* an earlier copy of the write may still take effect */

byte held_revision[PROCESSES];
bool partitioned[PROCESSES];   /* from the store and the peers */
byte stale_deliveries;
byte partitions;

bool was_pushed[PROCESSES];       /* in MUTANT_NO_REPAIR: newest revision pushed to the process */

byte edits[OPERATORS];      /* ghost: number of times that an operator's edit took effect */
byte before;                /* ghost: revision held before it is replaced */

hidden byte p;

inline any_process(x) {
    if
    :: x = 0
    :: x = 1
    :: x = 2
    fi
}

/* The store accepts the conditional write of operator w. */
inline store_accepts(w) {
    assert((document & draft[w]) == document);
    revision++;
    document = draft[w];
    token = w + 1;
    edits[w]++;
    assert(edits[w] <= 1);
    was_pushed[0] = false;
    was_pushed[1] = false;
    was_pushed[2] = false
}

inline discard_draft(w) {
    base[w] = 0;
    draft[w] = 0
}

inline read_record(w) {
    base[w] = revision;
    draft[w] = document | (1 << w);
    operator_state[w] = write_in_flight
}

inline determine_outcome(w) {
    if
#ifdef MUTANT_BLIND
    :: true -> base[w] = revision; operator_state[w] = write_in_flight
#elif defined(MUTANT_REPEAT)
    :: true -> read_record(w)
#elif defined(MUTANT_DENY)
    :: token == w + 1 -> operator_state[w] = reported_accepted; discard_draft(w)
    :: token != w + 1 && attempts[w] < 2 -> read_record(w)
    :: token != w + 1 && attempts[w] >= 2 -> operator_state[w] = reported_uncertain; discard_draft(w)
#else
    :: token == w + 1 -> operator_state[w] = reported_accepted; discard_draft(w)
    /* Nothing was written since the read, so repeating the same conditional write is safe. */
    :: token != w + 1 && revision == base[w] -> operator_state[w] = write_in_flight
    :: token != w + 1 && revision != base[w] -> operator_state[w] = reported_uncertain; discard_draft(w)
#endif
    fi
}

inline apply(x, offered) {
    before = held_revision[x];
#ifdef MUTANT_ANY_ORDER
    held_revision[x] = offered;
#else
    if
    :: offered > held_revision[x] -> held_revision[x] = offered
    :: else
    fi;
#endif
    assert(held_revision[x] >= before)
}

#define OPERATOR(w) \
    :: atomic { operator_state[w] == read_pending && !store_unreachable && attempts[w] < 2 -> \
        attempts[w]++; \
        read_record(w) } \
    :: atomic { operator_state[w] == write_in_flight && !store_unreachable && revision == base[w] -> \
        store_accepts(w); \
        if \
        :: operator_state[w] = reported_accepted; discard_draft(w) \
        :: operator_state[w] = outcome_unknown \
        fi } \
    :: atomic { operator_state[w] == write_in_flight && !store_unreachable && revision != base[w] -> \
        if \
        /* An earlier copy of a conflicting write may have been accepted: determine the outcome. */ \
        :: attempts[w] < 2 && !resent[w] -> operator_state[w] = read_pending \
        :: attempts[w] >= 2 && !resent[w] -> operator_state[w] = reported_conflict; discard_draft(w) \
        :: resent[w] -> operator_state[w] = outcome_unknown \
        fi } \
    :: atomic { operator_state[w] == write_in_flight && !resent[w] -> \
        resent[w] = true; \
        operator_state[w] = outcome_unknown } \
    :: atomic { operator_state[w] == outcome_unknown && !store_unreachable -> \
        resent[w] = true; \
        determine_outcome(w) }

/* A repeated write may reach the store late, while the operator determines its outcome. */
#define LATE_WRITE(w) \
    :: atomic { (operator_state[w] == outcome_unknown || operator_state[w] == write_in_flight) && \
        resent[w] && !store_unreachable && base[w] != 0 && revision == base[w] -> store_accepts(w) }

#define PULL(x, y) \
    :: atomic { !partitioned[x] && !partitioned[y] && held_revision[y] > held_revision[x] -> \
        apply(x, held_revision[y]) }

active proctype system() {
    revision = 1;
    held_revision[0] = 1;
    held_revision[1] = 1;
    held_revision[2] = 1;
    do
    OPERATOR(0)
    OPERATOR(1)
    LATE_WRITE(0)
    LATE_WRITE(1)
    /* Process 0 receives the newest revision by watching the store. */
    :: atomic { !store_unreachable && !partitioned[0] && held_revision[0] < revision ->
        apply(0, revision) }
#ifdef MUTANT_NO_REPAIR
    /* Process 0 pushes to each peer once and doesn't know whether the peer has received it. */
    :: atomic { held_revision[0] == revision && !was_pushed[1] -> was_pushed[1] = true;
        if
        :: !partitioned[0] && !partitioned[1] -> apply(1, held_revision[0])
        :: else
        fi }
    :: atomic { held_revision[0] == revision && !was_pushed[2] -> was_pushed[2] = true;
        if
        :: !partitioned[0] && !partitioned[2] -> apply(2, held_revision[0])
        :: else
        fi }
#else
    /* Peers compare digests and pull newer revisions. */
    PULL(0, 1)
    PULL(0, 2)
    PULL(1, 0)
    PULL(1, 2)
    PULL(2, 0)
    PULL(2, 1)
#endif
    /* Any revision that was ever accepted may reach any process. */
    :: atomic { stale_deliveries < STALE ->
        stale_deliveries++;
        any_process(p);
        if
        :: true -> apply(p, 1)
        :: revision >= 2 -> apply(p, 2)
        :: revision >= 3 -> apply(p, 3)
        fi }
    :: atomic { partitions < PARTS ->
        partitions++;
        any_process(p);
        partitioned[p] = true }
    :: atomic { partitioned[0] -> partitioned[0] = false }
    :: atomic { partitioned[1] -> partitioned[1] = false }
    :: atomic { partitioned[2] -> partitioned[2] = false }
    :: atomic { !store_unreachable -> store_unreachable = true }
    :: else -> break
    od;
    /* The outcomes reported to the operators are true, and all processes have converged. */
    assert(operator_state[0] != reported_accepted || edits[0] == 1);
    assert(operator_state[1] != reported_accepted || edits[1] == 1);
    assert(operator_state[0] != reported_conflict || edits[0] == 0);
    assert(operator_state[1] != reported_conflict || edits[1] == 0);
    assert(held_revision[0] == held_revision[1] && held_revision[1] == held_revision[2]);
    assert(store_unreachable || held_revision[0] == revision)
}
