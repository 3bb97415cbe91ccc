/*
 * A request that may not be repeated runs at most once.
 *
 * Process 0 is the agent that the first attempt is bound to, process 1 a later incarnation of the
 * same agent, process 2 another agent. An attempt is a key with its binding to one process; the
 * caller binds a second attempt only after the answer that the first one didn't run. Copies and
 * answers may be lost, duplicated, reordered and late; processes die, and a frozen one wakes late.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_NO_FENCE     an agent that is asked about a key it has never seen doesn't fence it
 *   MUTANT_REFUSE       an agent refuses a request without remembering that it did
 *   MUTANT_GONE_IS_NO   an unreachable incarnation is taken for one that hasn't run the request
 *   MUTANT_RUN_ELSEWHERE an agent runs a request that is bound to another incarnation
 *   MUTANT_FORGET       an agent forgets a key while a copy of the request may still arrive
 *   MUTANT_RETRY        the caller binds anew after the answer that the outcome is unknown
 */

#define PROCESSES 3
#define ATTEMPTS 2
#define COPIES 3
#define SLOTS 3

/* Messages, one word each; the bag is kept sorted, so that its order adds no states. */
#define copy 1      /* a request on its way to an agent */
#define ask 2       /* an agent asks the bound one for the outcome */
#define told 3      /* the bound agent's answer to the asking one */
#define answer 4    /* an answer to the caller */

#define KIND(m) ((m) & 7)
#define ATTEMPT(m) (((m) >> 3) & 1)
#define AT(m) (((m) >> 4) & 3)
#define FROM(m) (((m) >> 6) & 3)
#define OUTCOME(m) (((m) >> 8) & 3)

/* Outcomes. */
#define no 1
#define yes 2
#define unknown 3

/* What an agent remembers of a key. */
#define unseen 0
#define fenced 1
#define running 2
#define done 3

int bag[SLOTS];

byte memory[6];          /* by process and attempt */
bool alive[PROCESSES];
bool frozen[PROCESSES];
byte bound[ATTEMPTS];    /* process that an attempt is bound to */
byte present;            /* attempt that the caller is making */
byte copies;
bool ended;              /* the caller has taken a last answer */
bool at_backend[ATTEMPTS]; /* sent to the backend server, not yet run */
byte freezes;
byte deaths;

byte runs[ATTEMPTS];     /* ghost */
bool said_no[ATTEMPTS];  /* ghost: an answer "not run" has been sent */
bool said_yes[ATTEMPTS]; /* ghost */

hidden byte slot;
hidden byte kind;
hidden byte attempt;
hidden byte at;
hidden byte from;
hidden byte outcome;
hidden int swapped;

#define REMEMBERED(p, a) memory[(p) * ATTEMPTS + (a)]
#define AWAKE(p) (alive[p] && !frozen[p])

inline sort(x, y) {
    if
    :: bag[x] < bag[y] ->
        swapped = bag[x];
        bag[x] = bag[y];
        bag[y] = swapped
    :: else
    fi
}

inline put(p_kind, p_attempt, p_at, p_from, p_outcome) {
    if
    :: bag[SLOTS - 1] == 0 ->
        bag[SLOTS - 1] = p_kind | (p_attempt << 3) | (p_at << 4) | (p_from << 6) | (p_outcome << 8);
        sort(1, 2);
        sort(0, 1)
    :: else
    fi
}

/* Takes a message, or a copy of it that the network has duplicated. */
inline take() {
    kind = KIND(bag[slot]);
    attempt = ATTEMPT(bag[slot]);
    at = AT(bag[slot]);
    from = FROM(bag[slot]);
    outcome = OUTCOME(bag[slot])
}

inline remove() {
    bag[slot] = 0;
    sort(0, 1);
    sort(1, 2)
}

inline say(p_outcome) {
    if
    :: p_outcome == no -> said_no[attempt] = true
    :: p_outcome == yes -> said_yes[attempt] = true
    :: else
    fi;
    put(answer, attempt, 0, 0, p_outcome)
}

inline bound_agent_takes_copy() {
    if
    :: REMEMBERED(at, attempt) == unseen ->
        /* It runs the request, or refuses it. */
        if
        :: true ->
            REMEMBERED(at, attempt) = running;
            at_backend[attempt] = true
        :: true ->
#ifndef MUTANT_REFUSE
            REMEMBERED(at, attempt) = fenced;
#endif
            say(no)
        fi
    :: REMEMBERED(at, attempt) == fenced -> say(no)
    :: REMEMBERED(at, attempt) == running -> skip /* answered when it ends */
    :: REMEMBERED(at, attempt) == done -> say(yes)
    fi
}

inline agent_takes_copy() {
    if
    :: bound[attempt] == at -> bound_agent_takes_copy()
#ifdef MUTANT_RUN_ELSEWHERE
    :: bound[attempt] != at -> bound_agent_takes_copy()
#else
    :: bound[attempt] != at -> put(ask, attempt, bound[attempt], at, 0)
    /* The bound agent is unreachable, or its answer doesn't come in time. */
    :: bound[attempt] != at ->
#ifdef MUTANT_GONE_IS_NO
        say(no)
#else
        say(unknown)
#endif
#endif
    fi
}

inline agent_takes_ask() {
    if
    :: REMEMBERED(at, attempt) == unseen ->
#ifndef MUTANT_NO_FENCE
        REMEMBERED(at, attempt) = fenced;
#endif
        put(told, attempt, from, at, no)
    :: REMEMBERED(at, attempt) == fenced -> put(told, attempt, from, at, no)
    :: REMEMBERED(at, attempt) == running -> put(told, attempt, from, at, unknown)
    :: REMEMBERED(at, attempt) == done -> put(told, attempt, from, at, yes)
    fi
}

inline caller_takes_answer() {
    if
    :: ended || attempt != present -> skip
    :: !(ended || attempt != present) && outcome == yes -> ended = true
    :: !(ended || attempt != present) && outcome == unknown ->
#ifdef MUTANT_RETRY
        bind_anew()
#else
        ended = true
#endif
    :: !(ended || attempt != present) && outcome == no -> bind_anew()
    fi
}

inline bind_anew() {
    if
    :: present + 1 < ATTEMPTS ->
        present++;
        if
        :: bound[present] = 0 /* under a new binding */
        :: bound[present] = 1
        :: bound[present] = 2
        fi
    :: else -> ended = true
    fi
}

inline handle() {
    if
    :: kind == copy -> agent_takes_copy()
    :: kind == ask -> agent_takes_ask()
    :: kind == told -> say(outcome)
    :: kind == answer -> caller_takes_answer()
    fi
}

/* The backend server runs what it was sent, or sheds it and says so. */
inline backend_runs(a) {
    at_backend[a] = false;
    runs[a]++;
    attempt = a;
    at = bound[a];
    if
    :: AWAKE(at) -> REMEMBERED(at, a) = done; say(yes)
    :: else -> skip /* the answer finds nobody, or waits in a frozen agent's socket */
    fi
}

inline backend_sheds(a) {
    at_backend[a] = false;
    attempt = a;
    at = bound[a];
    if
    :: AWAKE(at) -> REMEMBERED(at, a) = fenced; say(no)
    :: else
    fi
}

inline check() {
    assert(runs[0] + runs[1] <= 1);
    assert(!(said_no[0] && runs[0] > 0));
    assert(!(said_no[1] && runs[1] > 0));
    assert(!said_yes[0] || runs[0] == 1);
    assert(!said_yes[1] || runs[1] == 1)
}

#define READY(m) (KIND(m) == answer || (KIND(m) != 0 && AWAKE(AT(m))))

active proctype system() {
    d_step {
        alive[0] = true;
        alive[1] = true;
        alive[2] = true;
        bound[0] = 0
    }
end:
    do
    /* The caller sends a copy by any agent. */
    :: atomic { copies < COPIES && !ended ->
        copies++;
        if
        :: true -> put(copy, present, 0, 0, 0)
        :: true -> put(copy, present, 1, 0, 0)
        :: true -> put(copy, present, 2, 0, 0)
        fi }
    :: atomic { READY(bag[0]) || READY(bag[1]) || READY(bag[2]) ->
        if
        :: READY(bag[0]) -> slot = 0
        :: READY(bag[1]) -> slot = 1
        :: READY(bag[2]) -> slot = 2
        fi;
        take();
        if
        :: true -> remove()
        :: kind == copy -> skip /* duplicated on the way */
        fi;
        handle();
        check() }
    :: atomic { at_backend[0] -> backend_runs(0); check() }
    :: atomic { at_backend[1] -> backend_runs(1); check() }
    :: atomic { at_backend[0] -> backend_sheds(0); check() }
    :: atomic { at_backend[1] -> backend_sheds(1); check() }
    /* An agent dies; its memory is gone, and what it sent to the backend server may still run. */
    :: atomic { deaths < 1 && alive[0] ->
        deaths++;
        alive[0] = false;
        memory[0] = unseen;
        memory[1] = unseen }
    :: atomic { freezes < 1 && alive[0] && !frozen[0] -> freezes++; frozen[0] = true }
    :: atomic { frozen[0] -> frozen[0] = false }
#ifdef MUTANT_FORGET
    :: atomic { REMEMBERED(0, 0) == done || REMEMBERED(0, 0) == fenced -> REMEMBERED(0, 0) = unseen }
#endif
    od
}
