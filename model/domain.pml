/*
 * A failure domain that operators take out receives no packet after the settle time.
 *
 * Time is counted in ticks. Processes 0 and 1 are balancers, process 2 is a peer that vouches for
 * them; each may be frozen once, for any time. A process that runs hears of the order within DELAY
 * ticks of running time. It checks the clock whenever it acts: after a gap longer than GAP its gate
 * closes, and opens again once the store, or a peer whose own gate is open, has given it what it
 * holds. The store may be away once the order is accepted and one process holds it.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_NO_GATE     a process that was frozen forwards by the view that it held
 *   MUTANT_LATE_CHECK  the gap is found by a timer that may fire after the first packets
 *   MUTANT_BLIND_OPEN  the gate opens without asking anybody
 *   MUTANT_VOUCH       a peer vouches while its own gate is closed
 *   MUTANT_SPLIT       the check and the forwarding are two steps, with a freeze between them
 */

#define PROCESSES 3
#define BALANCERS 2
#define DELAY 1
#define GAP 1
#define LAST_ORDER 2
/* Twice over, because a peer may vouch at the end of its own delay, and one gap that isn't found. */
#define SETTLE (2 * DELAY + 2 * GAP)
#define LAST (LAST_ORDER + SETTLE + 4)

byte now;
bool ordered;
byte ordered_at;
bool away;                  /* the store */

bool out[PROCESSES];        /* the process holds the order */
bool closed[PROCESSES];     /* its gate */
bool frozen[PROCESSES];
bool was_frozen[PROCESSES];
byte acted_at[PROCESSES];   /* tick at which it last checked the clock */
byte ran[PROCESSES];        /* ticks run since the order, up to DELAY */
bool checked[BALANCERS];    /* of MUTANT_SPLIT */

/* The clock check that precedes whatever a process does. */
inline check_clock(x) {
#ifndef MUTANT_NO_GATE
    if
    :: now - acted_at[x] > GAP -> closed[x] = true
    :: else
    fi;
#endif
    acted_at[x] = now
}

inline forward(x) {
    assert(!ordered || now <= ordered_at + SETTLE)
}

#define MUST_HEAR(x) (ordered && !frozen[x] && !closed[x] && !out[x] && ran[x] >= DELAY)

inline run_tick(x) {
    if
    :: frozen[x] -> skip
    :: !frozen[x] && now - acted_at[x] > GAP -> skip /* woken, and hasn't acted yet */
    :: else ->
        acted_at[x] = now + 1;
        if
        :: ordered && ran[x] < DELAY -> ran[x]++
        :: else
        fi
    fi
}

#define BALANCER(x) \
    BALANCER_FORWARDS(x) \
    PROCESS(x)

#ifdef MUTANT_SPLIT
#define BALANCER_FORWARDS(x) \
    :: atomic { !frozen[x] && !checked[x] -> check_clock(x); checked[x] = !closed[x] && !out[x] } \
    :: atomic { !frozen[x] && checked[x] -> checked[x] = false; forward(x) }
#elif defined(MUTANT_LATE_CHECK)
#define BALANCER_FORWARDS(x) \
    :: atomic { !frozen[x] && !closed[x] && !out[x] -> forward(x) } \
    :: atomic { !frozen[x] -> check_clock(x) }
#else
#define BALANCER_FORWARDS(x) \
    :: atomic { !frozen[x] -> \
        check_clock(x); \
        if \
        :: !closed[x] && !out[x] -> forward(x) \
        :: else \
        fi }
#endif

/* Hearing of the order in the usual way, freezing, waking. */
#define PROCESS(x) \
    :: atomic { ordered && !frozen[x] && !out[x] && HEARS(x) -> out[x] = true } \
    :: atomic { !frozen[x] && !was_frozen[x] -> frozen[x] = true; was_frozen[x] = true } \
    :: atomic { frozen[x] -> frozen[x] = false }

#define HEARS(x) (!away || out[0] || out[1] || out[2])

/* A closed gate opens with what the store holds. */
#define ASK_STORE(x) \
    :: atomic { closed[x] && !frozen[x] && !away -> out[x] = ordered; closed[x] = false; acted_at[x] = now }

/* A closed gate opens with what an answering peer holds; the peer checks its own clock first. */
#define ASK_PEER(x, y) \
    :: atomic { closed[x] && !frozen[x] && !frozen[y] -> \
        check_clock(y); \
        if \
        :: VOUCHES(y) -> out[x] = out[x] || out[y]; closed[x] = false; acted_at[x] = now \
        :: else \
        fi }

#ifdef MUTANT_VOUCH
#define VOUCHES(y) true
#else
#define VOUCHES(y) !closed[y]
#endif

active proctype system() {
end:
    do
    :: atomic { !ordered && now <= LAST_ORDER -> ordered = true; ordered_at = now }
    :: atomic { ordered && !away && (out[0] || out[1] || out[2]) -> away = true }
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
    :: atomic { closed[0] && !frozen[0] -> closed[0] = false }
#endif
    /* Time passes once every running process has heard what is due. */
    :: atomic { now < LAST && !MUST_HEAR(0) && !MUST_HEAR(1) && !MUST_HEAR(2) ->
        run_tick(0);
        run_tick(1);
        run_tick(2);
        now++ }
    od
}
