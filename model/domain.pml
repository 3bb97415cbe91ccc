/*
 * A failure domain that operators take out of service receives no packets after the settle time.
 *
 * Time is counted in ticks. Processes 0 and 1 are balancers, and process 2 is a peer that can confirm
 * their records. Each may be paused once, for any time. A running process learns of the order to take
 * the domain out within DELAY ticks of running time. A process checks the clock before each action.
 * After a gap longer than GAP its gate closes, and the process forwards nothing until the gate opens:
 * when the store, or a peer whose own gate is open, has sent its records. The store may become
 * unreachable once it has accepted the order and one process holds it.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_NO_GATE     a process that was paused forwards by its outdated view
 *   MUTANT_LATE_CHECK  a timer detects the gap and may fire after the first packets
 *   MUTANT_BLIND_OPEN  the gate opens without a response from the store or a peer
 *   MUTANT_VOUCH       a peer confirms records while its own gate is closed
 *   MUTANT_SPLIT       the clock check and the forwarding are two steps, with a pause between them
 */

#define PROCESSES 3
#define BALANCERS 2
#define DELAY 1         /* ticks within which a running process learns of the order */
#define GAP 1           /* longest gap, in ticks, that leaves the gate open */
#define LAST_ORDER 2    /* last tick at which the order may be given */
/* Ticks after which no packet may be forwarded: two delays, because a peer may confirm records at the
 * end of its own delay, and two gaps, because one gap of a process may go undetected. */
#define SETTLE (2 * DELAY + 2 * GAP)
#define LAST (LAST_ORDER + SETTLE + 4)

byte now;
bool ordered;
byte ordered_at;
bool store_unreachable;

bool holds_order[PROCESSES];
bool gate_closed[PROCESSES];
bool paused[PROCESSES];
bool was_paused[PROCESSES];
byte acted_at[PROCESSES];   /* tick at which the process last checked the clock */
byte ticks_run[PROCESSES];        /* ticks that the process ran since the order, up to DELAY */
bool check_passed[BALANCERS];    /* in MUTANT_SPLIT: the clock check has passed */

/* Checks the clock, before each action of a process. */
inline check_clock(x) {
#ifndef MUTANT_NO_GATE
    if
    :: now - acted_at[x] > GAP -> gate_closed[x] = true
    :: else
    fi;
#endif
    acted_at[x] = now
}

inline forward(x) {
    assert(!ordered || now <= ordered_at + SETTLE)
}

#define MUST_LEARN(x) (ordered && !paused[x] && !gate_closed[x] && !holds_order[x] && \
    ticks_run[x] >= DELAY)

inline advance_tick(x) {
    if
    :: paused[x] -> skip
    :: !paused[x] && now - acted_at[x] > GAP -> skip /* has resumed, but hasn't acted yet */
    :: else ->
        acted_at[x] = now + 1;
        if
        :: ordered && ticks_run[x] < DELAY -> ticks_run[x]++
        :: else
        fi
    fi
}

#define BALANCER(x) \
    BALANCER_FORWARDS(x) \
    PROCESS(x)

#ifdef MUTANT_SPLIT
#define BALANCER_FORWARDS(x) \
    :: atomic { !paused[x] && !check_passed[x] -> \
        check_clock(x); \
        check_passed[x] = !gate_closed[x] && !holds_order[x] } \
    :: atomic { !paused[x] && check_passed[x] -> check_passed[x] = false; forward(x) }
#elif defined(MUTANT_LATE_CHECK)
#define BALANCER_FORWARDS(x) \
    :: atomic { !paused[x] && !gate_closed[x] && !holds_order[x] -> forward(x) } \
    :: atomic { !paused[x] -> check_clock(x) }
#else
#define BALANCER_FORWARDS(x) \
    :: atomic { !paused[x] -> \
        check_clock(x); \
        if \
        :: !gate_closed[x] && !holds_order[x] -> forward(x) \
        :: else \
        fi }
#endif

/* A process learns of the order by replication, pauses or resumes. */
#define PROCESS(x) \
    :: atomic { ordered && !paused[x] && !holds_order[x] && CAN_LEARN(x) -> holds_order[x] = true } \
    :: atomic { !paused[x] && !was_paused[x] -> paused[x] = true; was_paused[x] = true } \
    :: atomic { paused[x] -> paused[x] = false }

#define CAN_LEARN(x) (!store_unreachable || holds_order[0] || holds_order[1] || holds_order[2])

/* A closed gate opens when the store has sent its records. */
#define ASK_STORE(x) \
    :: atomic { gate_closed[x] && !paused[x] && !store_unreachable -> \
        holds_order[x] = ordered; \
        gate_closed[x] = false; \
        acted_at[x] = now }

/* A closed gate opens when a peer has sent its records; the peer checks its own clock first. */
#define ASK_PEER(x, y) \
    :: atomic { gate_closed[x] && !paused[x] && !paused[y] -> \
        check_clock(y); \
        if \
        :: CAN_CONFIRM(y) -> \
            holds_order[x] = holds_order[x] || holds_order[y]; \
            gate_closed[x] = false; \
            acted_at[x] = now \
        :: else \
        fi }

#ifdef MUTANT_VOUCH
#define CAN_CONFIRM(y) true
#else
#define CAN_CONFIRM(y) !gate_closed[y]
#endif

active proctype system() {
end:
    do
    :: atomic { !ordered && now <= LAST_ORDER -> ordered = true; ordered_at = now }
    :: atomic { ordered && !store_unreachable && (holds_order[0] || holds_order[1] || holds_order[2]) ->
        store_unreachable = true }
    BALANCER(0)
    BALANCER(1)
    PROCESS(2)
    ASK_STORE(0)
    ASK_STORE(1)
    ASK_STORE(2)
    ASK_PEER(0, 1)
    ASK_PEER(0, 2)
    ASK_PEER(1, 0)
    ASK_PEER(1, 2)
    ASK_PEER(2, 0)
    ASK_PEER(2, 1)
#ifdef MUTANT_BLIND_OPEN
    :: atomic { gate_closed[0] && !paused[0] -> gate_closed[0] = false }
#endif
    /* Time advances only when no running process still has to learn of the order. */
    :: atomic { now < LAST && !MUST_LEARN(0) && !MUST_LEARN(1) && !MUST_LEARN(2) ->
        advance_tick(0);
        advance_tick(1);
        advance_tick(2);
        now++ }
    od
}
