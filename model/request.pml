/*
 * A request that must not be repeated runs at most once.
 *
 * Process 0 is the agent that the first attempt is bound to, process 1 a later incarnation of the
 * same agent, and process 2 another agent. An attempt is an idempotency key bound to one process. The
 * caller binds a second attempt only after an answer that the first one didn't run. Copies and
 * answers may be lost, duplicated, reordered and delayed. A process may crash, and a process may be
 * paused and resume late.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_NO_FENCE     an agent that is queried for an unseen key doesn't fence the key
 *   MUTANT_REFUSE       an agent refuses a request without recording the refusal
 *   MUTANT_GONE_IS_NO   an unreachable incarnation is assumed not to have run the request
 *   MUTANT_RUN_ELSEWHERE an agent runs a request that is bound to another incarnation
 *   MUTANT_FORGET       an agent discards a key while a copy of the request may still arrive
 *   MUTANT_RETRY        the caller binds a second attempt after an answer that the outcome is unknown
 */

#define PROCESSES 3
#define ATTEMPTS 2
#define COPIES 3
#define SLOTS 3

/* Messages in flight, one word each. The array is kept sorted so that its order adds no states. */
#define copy 1      /* a copy of the request, sent to an agent */
#define query 2       /* a query for the outcome, sent to the bound agent */
#define query_response 3      /* the bound agent's response to a query */
#define answer 4    /* an answer sent to the caller */

#define KIND(m) ((m) & 7)
#define ATTEMPT(m) (((m) >> 3) & 1)
#define AT(m) (((m) >> 4) & 3)
#define FROM(m) (((m) >> 6) & 3)
#define OUTCOME(m) (((m) >> 8) & 3)

/* Outcomes. */
#define not_run 1
#define was_run 2
#define unknown 3

/* State of a key at an agent. */
#define unseen 0
#define fenced 1
#define running 2
#define done 3

int messages[SLOTS];

byte key_states[6];          /* states of the keys, indexed by process and attempt */
bool alive[PROCESSES];
bool paused[PROCESSES];
byte bound[ATTEMPTS];    /* process that each attempt is bound to */
byte current_attempt;
byte copies_sent;
bool ended;              /* the caller has accepted a final answer */
bool at_backend[ATTEMPTS]; /* the request was sent to the backend server, but has not run yet */
byte pauses;
byte crashes;

byte runs[ATTEMPTS];     /* ghost: number of times that an attempt has run */
bool answered_not_run[ATTEMPTS];   /* ghost: the answer "not run" was sent */
bool answered_run[ATTEMPTS];       /* ghost: the answer "run" was sent */

hidden byte slot;
hidden byte kind;
hidden byte attempt;
hidden byte at;
hidden byte from;
hidden byte outcome;
hidden int previous;

#define KEY_STATE(p, a) key_states[(p) * ATTEMPTS + (a)]
#define IS_RUNNING(p) (alive[p] && !paused[p])

inline sort(x, y) {
    if
    :: messages[x] < messages[y] ->
        previous = messages[x];
        messages[x] = messages[y];
        messages[y] = previous
    :: else
    fi
}

inline put(p_kind, p_attempt, p_at, p_from, p_outcome) {
    if
    :: messages[SLOTS - 1] == 0 ->
        messages[SLOTS - 1] = p_kind | (p_attempt << 3) | (p_at << 4) | (p_from << 6) | (p_outcome << 8);
        sort(1, 2);
        sort(0, 1)
    :: else
    fi
}

/* Reads the fields of the message at the current slot. */
inline read_message() {
    kind = KIND(messages[slot]);
    attempt = ATTEMPT(messages[slot]);
    at = AT(messages[slot]);
    from = FROM(messages[slot]);
    outcome = OUTCOME(messages[slot])
}

inline remove() {
    messages[slot] = 0;
    sort(0, 1);
    sort(1, 2)
}

inline send_answer(p_outcome) {
    if
    :: p_outcome == not_run -> answered_not_run[attempt] = true
    :: p_outcome == was_run -> answered_run[attempt] = true
    :: else
    fi;
    put(answer, attempt, 0, 0, p_outcome)
}

inline bound_agent_handles_copy() {
    if
    :: KEY_STATE(at, attempt) == unseen ->
        /* The agent runs the request or refuses it. */
        if
        :: true ->
            KEY_STATE(at, attempt) = running;
            at_backend[attempt] = true
        :: true ->
#ifndef MUTANT_REFUSE
            KEY_STATE(at, attempt) = fenced;
#endif
            send_answer(not_run)
        fi
    :: KEY_STATE(at, attempt) == fenced -> send_answer(not_run)
    :: KEY_STATE(at, attempt) == running -> skip /* answered when the request finishes */
    :: KEY_STATE(at, attempt) == done -> send_answer(was_run)
    fi
}

inline agent_handles_copy() {
    if
    :: bound[attempt] == at -> bound_agent_handles_copy()
#ifdef MUTANT_RUN_ELSEWHERE
    :: bound[attempt] != at -> bound_agent_handles_copy()
#else
    :: bound[attempt] != at -> put(query, attempt, bound[attempt], at, 0)
    /* The bound agent is unreachable, or its response doesn't arrive in time. */
    :: bound[attempt] != at ->
#ifdef MUTANT_GONE_IS_NO
        send_answer(not_run)
#else
        send_answer(unknown)
#endif
#endif
    fi
}

inline agent_handles_query() {
    if
    :: KEY_STATE(at, attempt) == unseen ->
#ifndef MUTANT_NO_FENCE
        KEY_STATE(at, attempt) = fenced;
#endif
        put(query_response, attempt, from, at, not_run)
    :: KEY_STATE(at, attempt) == fenced -> put(query_response, attempt, from, at, not_run)
    :: KEY_STATE(at, attempt) == running -> put(query_response, attempt, from, at, unknown)
    :: KEY_STATE(at, attempt) == done -> put(query_response, attempt, from, at, was_run)
    fi
}

inline caller_handles_answer() {
    if
    :: ended || attempt != current_attempt -> skip
    :: !(ended || attempt != current_attempt) && outcome == was_run -> ended = true
    :: !(ended || attempt != current_attempt) && outcome == unknown ->
#ifdef MUTANT_RETRY
        bind_next_attempt()
#else
        ended = true
#endif
    :: !(ended || attempt != current_attempt) && outcome == not_run -> bind_next_attempt()
    fi
}

inline bind_next_attempt() {
    if
    :: current_attempt + 1 < ATTEMPTS ->
        current_attempt++;
        if
        :: bound[current_attempt] = 0 /* the same process under a new binding */
        :: bound[current_attempt] = 1
        :: bound[current_attempt] = 2
        fi
    :: else -> ended = true
    fi
}

inline handle() {
    if
    :: kind == copy -> agent_handles_copy()
    :: kind == query -> agent_handles_query()
    :: kind == query_response -> send_answer(outcome)
    :: kind == answer -> caller_handles_answer()
    fi
}

/* The backend server runs the request that it was sent. */
inline backend_runs(a) {
    at_backend[a] = false;
    runs[a]++;
    attempt = a;
    at = bound[a];
    if
    :: IS_RUNNING(at) -> KEY_STATE(at, a) = done; send_answer(was_run)
    :: else -> skip /* the response is lost, or waits in the socket of the paused agent */
    fi
}

/* The backend server sheds the request and reports that it hasn't run. */
inline backend_sheds(a) {
    at_backend[a] = false;
    attempt = a;
    at = bound[a];
    if
    :: IS_RUNNING(at) -> KEY_STATE(at, a) = fenced; send_answer(not_run)
    :: else
    fi
}

inline check_invariants() {
    assert(runs[0] + runs[1] <= 1);
    assert(!(answered_not_run[0] && runs[0] > 0));
    assert(!(answered_not_run[1] && runs[1] > 0));
    assert(!answered_run[0] || runs[0] == 1);
    assert(!answered_run[1] || runs[1] == 1)
}

#define DELIVERABLE(m) (KIND(m) == answer || (KIND(m) != 0 && IS_RUNNING(AT(m))))

active proctype system() {
    d_step {
        alive[0] = true;
        alive[1] = true;
        alive[2] = true;
        bound[0] = 0
    }
end:
    do
    /* The caller sends a copy of the request to any agent. */
    :: atomic { copies_sent < COPIES && !ended ->
        copies_sent++;
        if
        :: true -> put(copy, current_attempt, 0, 0, 0)
        :: true -> put(copy, current_attempt, 1, 0, 0)
        :: true -> put(copy, current_attempt, 2, 0, 0)
        fi }
    :: atomic { DELIVERABLE(messages[0]) || DELIVERABLE(messages[1]) || DELIVERABLE(messages[2]) ->
        if
        :: DELIVERABLE(messages[0]) -> slot = 0
        :: DELIVERABLE(messages[1]) -> slot = 1
        :: DELIVERABLE(messages[2]) -> slot = 2
        fi;
        read_message();
        if
        :: true -> remove()
        :: kind == copy -> skip /* the network duplicates the message */
        fi;
        handle();
        check_invariants() }
    :: atomic { at_backend[0] -> backend_runs(0); check_invariants() }
    :: atomic { at_backend[1] -> backend_runs(1); check_invariants() }
    :: atomic { at_backend[0] -> backend_sheds(0); check_invariants() }
    :: atomic { at_backend[1] -> backend_sheds(1); check_invariants() }
    /* An agent crashes and loses its key states; a request sent to the backend server may still run. */
    :: atomic { crashes < 1 && alive[0] ->
        crashes++;
        alive[0] = false;
        key_states[0] = unseen;
        key_states[1] = unseen }
    :: atomic { pauses < 1 && alive[0] && !paused[0] -> pauses++; paused[0] = true }
    :: atomic { paused[0] -> paused[0] = false }
#ifdef MUTANT_FORGET
    :: atomic { KEY_STATE(0, 0) == done || KEY_STATE(0, 0) == fenced -> KEY_STATE(0, 0) = unseen }
#endif
    od
}
