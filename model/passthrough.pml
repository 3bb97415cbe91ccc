/*
 * Ownership of one pass-through flow.
 *
 * Balancers need no state: a balancer sends a packet to any agent that the packet hasn't visited,
 * and an agent that can't accept the packet returns it. Copies of the opener may reach both targets,
 * so both may hold the flow half open. The caller uses the first answer and acknowledges that
 * target's number. Agents and backend servers may restart, and packets may be lost and delayed. The
 * number of a half-open flow models the sequence number of the backend server's answer.
 *
 * A balancer may also ask the agents, one step each, whether they hold the caller's flow. An agent that
 * can't tell gets a copy of a packet, which its backend server rejects if it doesn't hold the flow. The
 * caller is reset once all agents have denied the flow. The route may move from agent 0's service to
 * agent 1's, after which openers go to agent 1 only.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_NO_NUMBER      an agent accepts any continuing packet for a flow that it holds half open
 *   MUTANT_BLIND_RESTART  a restarted agent denies packets of flows that it doesn't know
 *   MUTANT_FIRST_DENIAL   a balancer resets a flow at the first denial
 *   MUTANT_PARTIAL_VIEW   a balancer resets a flow although it doesn't know all targets
 *   MUTANT_CURRENT_ROUTE  a balancer asks only the agents of the service that the route names now
 *   MUTANT_BLIND_ANSWER   a restarted agent denies flows that a balancer asks about
 *   MUTANT_ENDED_HALF     an agent records a half-open flow as ended when its backend server restarts
 *   MUTANT_FALSE_END      an agent takes a backend server that runs on for a new one
 *   MUTANT_EARLY_EXPIRY   an agent stops tracking a flow that its backend server still holds
 */

#define AGENTS 2
#define OPENERS 2
#define CONTINUING 3
#define AGENT_RESTARTS 1
#define BACKEND_RESTARTS 1
#define SEARCHES 1
#define SLOTS 2

#define free 0
#define opener 1
#define continuing 2
#define answer 3

#define half 1
#define open 2

/* Packets in flight. */
byte kind[SLOTS];
byte at[SLOTS];         /* agent that the packet is sent to; unused for answers */
byte number[SLOTS];     /* number that the packet acknowledges or announces */
byte visited[SLOTS];    /* agents that have denied the packet, as a bit set */

/* Agents. */
byte agent_state[AGENTS];     /* state of the flow according to the agent */
byte agent_number[AGENTS];      /* number in the backend server's answer, as seen by the agent */
bool ended[AGENTS];     /* the flow ended when the backend server restarted */
bool sees_all_flows[AGENTS] = true;   /* whether the agent has seen all flows of its backend server */

/* Backend servers. */
byte backend_state[AGENTS];
byte backend_number[AGENTS];

byte numbers;           /* number of sequence numbers drawn so far */
byte caller_number;           /* number of the answer that the caller uses, 0 if none */
byte openers_sent;
byte continuing_sent;
byte agent_restarts;
byte backend_restarts;
bool route_moved;

/* Search of a balancer that asks the agents about the caller's flow. */
byte searches;
bool searching;
byte denials;           /* agents that have denied the flow, as a bit set */

hidden byte slot;
hidden byte agent;
hidden byte free_slot;

inline any_slot() {
    if
    :: slot = 0
    :: slot = 1
    fi
}

inline any_agent() {
    if
    :: agent = 0
    :: agent = 1
    fi
}

inline agent_of_route() {
    if
    :: !route_moved -> agent = 0
    :: !route_moved -> agent = 1   /* both agents may belong to the service */
    :: route_moved -> agent = 1
    fi
}

/* Puts a packet into a free slot; the packet is lost if there is none. */
inline put(p_kind, p_at, p_number, p_visited) {
    if
    :: kind[0] == free -> free_slot = 0
    :: kind[0] != free && kind[1] == free -> free_slot = 1
    :: else -> free_slot = SLOTS
    fi;
    if
    :: free_slot < SLOTS ->
        kind[free_slot] = p_kind;
        at[free_slot] = p_at;
        number[free_slot] = p_number;
        visited[free_slot] = p_visited
    :: else
    fi
}

inline take() {
    kind[slot] = free;
    at[slot] = 0;
    number[slot] = 0;
    visited[slot] = 0
}

/* A backend server holds the flow open with the number that the caller uses. */
#define HELD (caller_number != 0 && ((backend_state[0] == open && backend_number[0] == caller_number) || \
    (backend_state[1] == open && backend_number[1] == caller_number)))

/* An agent denies a packet; the balancer tries the other agent, or drops the packet if both have
 * denied it. */
inline deny() {
    visited[slot] = visited[slot] | (1 << at[slot]);
    if
    :: kind[slot] == continuing ->
#ifdef MUTANT_FIRST_DENIAL
        assert(!(HELD && number[slot] == caller_number));
#endif
        if
        :: visited[slot] == 3 ->
            /* All agents have denied it, so the caller receives a reset. */
            assert(!(HELD && number[slot] == caller_number));
            take()
        :: visited[slot] != 3 ->
#ifdef MUTANT_PARTIAL_VIEW
            assert(!(HELD && number[slot] == caller_number));
#endif
            at[slot] = 1 - at[slot]
        fi
    :: kind[slot] == opener ->
        if
        :: visited[slot] == 3 -> take()
        :: visited[slot] != 3 -> at[slot] = 1 - at[slot]
        fi
    fi
}

/* The backend server receives an opener and answers with its number, a new one if it has no flow. */
inline backend_handles_opener() {
    if
    :: backend_state[agent] == free ->
        numbers++;
        backend_state[agent] = half;
        backend_number[agent] = numbers
    :: else
    fi;
    take();
    ended[agent] = false;
    put(answer, 0, backend_number[agent], 0);
    agent_state[agent] = half;
    agent_number[agent] = backend_number[agent]
}

/* The backend server receives a continuing packet. */
inline backend_handles_continuing() {
    if
    :: backend_state[agent] != free && backend_number[agent] == number[slot] ->
        backend_state[agent] = open;
        /* It responds, so its agent learns of the flow. */
        agent_state[agent] = open;
        agent_number[agent] = backend_number[agent];
        take()
    :: else ->
        /* The backend server rejects the packet. */
        deny()
    fi
}

inline agent_handles_packet() {
    agent = at[slot];
    if
    :: kind[slot] == opener ->
        if
        :: agent_state[agent] == open -> take()   /* a delayed copy */
        :: agent_state[agent] == half -> backend_handles_opener()
        :: agent_state[agent] == free -> backend_handles_opener()
        :: agent_state[agent] == free -> deny()   /* the agent has no capacity */
        fi
    :: kind[slot] == continuing ->
        if
        :: agent_state[agent] == open ->
            /* A packet that the agent accepts belongs to its flow, or to an earlier one of the same caller. */
            assert(!(HELD && number[slot] == caller_number) || backend_number[agent] == caller_number);
            backend_handles_continuing()
        :: agent_state[agent] == half ->
#ifdef MUTANT_NO_NUMBER
            agent_state[agent] = open;
            take()
#else
            if
            :: agent_number[agent] == number[slot] ->
                agent_state[agent] = open;
                backend_handles_continuing()
            :: else -> deny()
            fi
#endif
        :: agent_state[agent] == free ->
#ifdef MUTANT_BLIND_RESTART
            deny()
#else
            if
            :: ended[agent] ->
                /* The caller receives a reset. */
                assert(!(HELD && number[slot] == caller_number));
                take()
            :: sees_all_flows[agent] && !ended[agent] -> deny()
            :: !sees_all_flows[agent] && !ended[agent] -> backend_handles_continuing()
            fi
#endif
        fi
    fi
}

/* An agent answers whether it holds the caller's flow. */
inline answer_search() {
    if
    :: agent_state[agent] == open -> searching = false
    :: agent_state[agent] == half ->
        if
        :: agent_number[agent] == caller_number -> searching = false
        :: else -> denials = denials | (1 << agent)
        fi
    :: agent_state[agent] == free && ended[agent] ->
        /* The caller receives a reset. */
        assert(!HELD);
        searching = false
    :: agent_state[agent] == free && !ended[agent] ->
#ifdef MUTANT_BLIND_ANSWER
        denials = denials | (1 << agent)
#else
        if
        :: sees_all_flows[agent] -> denials = denials | (1 << agent)
        :: else ->
            /* The agent delivers a copy of a packet. */
            if
            :: backend_state[agent] != free && backend_number[agent] == caller_number ->
                backend_state[agent] = open;
                agent_state[agent] = open;
                agent_number[agent] = backend_number[agent];
                searching = false
            :: else -> denials = denials | (1 << agent)
            fi
        fi
#endif
    fi;
#ifdef MUTANT_CURRENT_ROUTE
    if
    :: route_moved -> denials = denials | 1
    :: else
    fi;
#endif
    if
    :: searching && denials == 3 ->
        /* The caller receives a reset. */
        assert(!HELD);
        searching = false
    :: else
    fi
}

active proctype system() {
end:
    do
    :: atomic {
        openers_sent < OPENERS && caller_number == 0 ->
            openers_sent++;
            agent_of_route();
            put(opener, agent, 0, 0)
       }
    :: atomic {
        !route_moved -> route_moved = true
       }
    :: atomic {
        searches < SEARCHES && !searching && caller_number != 0 ->
            searches++;
            searching = true;
            denials = 0
       }
    :: atomic {
        searching ->
            any_agent();
            answer_search()
       }
    :: atomic {
        continuing_sent < CONTINUING && caller_number != 0 ->
            continuing_sent++;
            any_agent();
            put(continuing, agent, caller_number, 0)
       }
    :: atomic {
        kind[0] == answer || kind[1] == answer ->
            if
            :: kind[0] == answer -> slot = 0
            :: kind[1] == answer -> slot = 1
            fi;
            if
            :: caller_number == 0 -> caller_number = number[slot]
            :: else
            fi;
            take()
       }
    :: atomic {
        kind[0] == opener || kind[0] == continuing || kind[1] == opener || kind[1] == continuing ->
            if
            :: kind[0] == opener || kind[0] == continuing -> slot = 0
            :: kind[1] == opener || kind[1] == continuing -> slot = 1
            fi;
            agent_handles_packet()
       }
    :: atomic {
        kind[0] != free || kind[1] != free ->   /* a packet is lost */
            if
            :: kind[0] != free -> slot = 0
            :: kind[1] != free -> slot = 1
            fi;
            take()
       }
    :: atomic {
        agent_restarts < AGENT_RESTARTS ->
            agent_restarts++;
            any_agent();
            agent_state[agent] = free;
            agent_number[agent] = 0;
            ended[agent] = false;
            sees_all_flows[agent] = false
       }
#ifdef MUTANT_FALSE_END
    :: atomic {
        agent_state[0] == open || agent_state[1] == open ->
            if
            :: agent_state[0] == open -> agent = 0
            :: agent_state[1] == open -> agent = 1
            fi;
            ended[agent] = true;
            agent_state[agent] = free;
            agent_number[agent] = 0
       }
#endif
#ifdef MUTANT_EARLY_EXPIRY
    :: atomic {
        agent_state[0] == open || agent_state[1] == open ->
            if
            :: agent_state[0] == open -> agent = 0
            :: agent_state[1] == open -> agent = 1
            fi;
            agent_state[agent] = free;
            agent_number[agent] = 0
       }
#endif
    :: atomic {
        backend_restarts < BACKEND_RESTARTS ->
            backend_restarts++;
            any_agent();
            backend_state[agent] = free;
            backend_number[agent] = 0;
#ifdef MUTANT_ENDED_HALF
            ended[agent] = ended[agent] || agent_state[agent] != free;
#else
            ended[agent] = ended[agent] || agent_state[agent] == open;
#endif
            agent_state[agent] = free;
            agent_number[agent] = 0;
            sees_all_flows[agent] = true
       }
    od
}
