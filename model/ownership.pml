/*
 * Ownership of one flow.
 *
 * Packets of the caller reach any balancer, and the balancers' views may differ: a balancer without
 * a hint forwards to any agent, and an agent forwards to any agent that isn't on the packet's trail.
 * This covers every pair of views. Packets may be lost, reordered and delayed. TOKENS is 1 if the
 * transport carries the owner's token in its packets, and 0 for opaque flows.
 *
 * A connection is one admission of the flow by one agent; its number models the token's nonce.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_UNPROVED    an agent accepts any continuing packet as proof that the caller uses its
 *                      connection
 *   MUTANT_YIELD_ALL   an established owner drops the flow when it receives a yield
 *   MUTANT_NO_TRAIL    a packet forwarded between agents doesn't carry its trail
 *   MUTANT_FIRST_RESET the first agent without the packet's connection resets the flow (opaque flows)
 *   MUTANT_REUSED_MARK an agent uses the same connection number for each admission
 */

#define AGENTS 3
#define BALANCERS 2
#ifndef OPENERS
#define OPENERS 2
#endif
#define CONTINUING 2
#define CRASHES 1
#define SLOTS 3
#define HOP_LIMIT AGENTS

#ifndef TOKENS
#define TOKENS 1
#endif

#define free 0
#define opener 1
#define continuing 2
#define answer 3
#define hint 4
#define yield 5
#define reset 6

/* Packets in flight, one word each. The array is kept sorted so that its order adds no states. */
int packets[SLOTS];

#define KIND(p) ((p) & 7)
#define INSIDE(p) (((p) >> 3) & 1)        /* addressed to an agent; otherwise to a balancer or the caller */
#define AT(p) (((p) >> 4) & 3)            /* index of the agent or balancer */
#define NUMBER(p) (((p) >> 6) & 7)          /* connection of the packet; for a hint, the owner */
#define VISITED(p) (((p) >> 9) & 7)       /* agents visited, as a bit set */
#define HOPS(p) (((p) >> 12) & 7)
#define VIA(p) (((p) >> 15) & 1)          /* balancer that received the packet */
#define ESTABLISHED(p) (((p) >> 16) & 1)  /* for a hint: the owner holds the flow established */

byte connection[AGENTS];   /* connection that the agent holds, 0 if none */
bool established[AGENTS];
byte admissions;                /* number of connections admitted so far */

byte cached[BALANCERS];            /* owner in the balancer's hint cache plus one, 0 if unknown */
bool cached_established[BALANCERS];

byte caller_connection;   /* connection that the caller uses, 0 if none */
byte openers_sent;
byte continuing_sent;
byte crashes;

byte established_connection;   /* ghost: 0 if none */
byte established_owner;        /* ghost: agent that holds the established connection */

hidden byte slot;
hidden byte agent;
hidden byte choice;
hidden byte loser;
hidden byte k;
hidden int previous;
hidden byte kind;
hidden byte inside;
hidden byte at;
hidden byte number;
hidden byte visited;
hidden byte hops;
hidden byte via;
hidden byte proved;

inline sort(x, y) {
    if
    :: packets[x] < packets[y] ->
        previous = packets[x];
        packets[x] = packets[y];
        packets[y] = previous
    :: else
    fi
}

/* Adds a packet, the highest words first. The packet is lost if there is no free slot. */
inline put(p_kind, p_inside, p_at, p_number, p_visited, p_hops, p_via, p_established) {
    if
    :: packets[SLOTS - 1] == 0 ->
        packets[SLOTS - 1] = p_kind | (p_inside << 3) | (p_at << 4) | (p_number << 6) |
            (p_visited << 9) | ((p_hops) << 12) | (p_via << 15) | (p_established << 16);
        sort(1, 2);
        sort(0, 1)
    :: else
    fi
}

inline take() {
    kind = KIND(packets[slot]);
    inside = INSIDE(packets[slot]);
    at = AT(packets[slot]);
    number = NUMBER(packets[slot]);
    visited = VISITED(packets[slot]);
    hops = HOPS(packets[slot]);
    via = VIA(packets[slot]);
    proved = ESTABLISHED(packets[slot]);
    packets[slot] = 0;
    sort(0, 1);
    sort(1, 2)
}

inline any_balancer() {
    if
    :: choice = 0
    :: choice = 1
    fi
}

/* Chooses any agent that isn't on the trail, or AGENTS if there is none. */
inline any_agent() {
    if
    :: !(visited & 1) -> choice = 0
    :: !(visited & 2) -> choice = 1
    :: !(visited & 4) -> choice = 2
    :: visited == 7 -> choice = AGENTS
    fi
}

inline forward_to_choice() {
    put(kind, 1, choice, number, visited, hops + 1, via, 0)
}

inline forward_to_next_agent() {
#ifndef MUTANT_NO_TRAIL
    visited = visited | (1 << agent);
#endif
    any_agent();
    if
    :: choice < AGENTS ->
        assert(hops < HOP_LIMIT);
        forward_to_choice()
    :: else ->
        if
        :: kind == continuing ->
            assert(established_connection == 0 || established_connection != number);
            put(reset, 0, 0, number, 0, 0, 0, 0)
        :: else /* every agent has refused the opener, and the caller is notified */
        fi
    fi
}

inline send_hint() {
    put(hint, 0, via, agent, 0, 0, via, established[agent])
}

inline admit() {
#ifdef MUTANT_REUSED_MARK
    connection[agent] = agent + 1;
#else
    admissions++;
    connection[agent] = admissions;
#endif
    established[agent] = false
}

inline drop_flow(a) {
    connection[a] = 0;
    established[a] = false
}

inline agent_handles_opener() {
    if
    :: connection[agent] != 0 ->
        put(answer, 0, 0, connection[agent], 0, 0, 0, 0)
    :: connection[agent] == 0 ->
        admit();
        put(answer, 0, 0, connection[agent], 0, 0, 0, 0);
        send_hint()
    :: connection[agent] == 0 ->
        forward_to_next_agent()
    fi
}

inline deliver() {
    assert(number == connection[agent]);
    assert(caller_connection == number);
    if
    :: !established[agent] ->
        assert(established_connection == 0 || established_connection == number);
        established[agent] = true;
        established_connection = number;
        established_owner = agent;
        send_hint()
    :: else
    fi
}

inline agent_handles_continuing() {
    if
#ifdef MUTANT_UNPROVED
    :: connection[agent] != 0 -> deliver()
#else
    :: connection[agent] != 0 && connection[agent] == number -> deliver()
#endif
    :: else ->
#ifdef MUTANT_FIRST_RESET
        assert(established_connection == 0 || established_connection != number);
        put(reset, 0, 0, number, 0, 0, 0, 0)
#else
        forward_to_next_agent()
#endif
    fi
}

inline agent_handles_yield() {
    if
#ifdef MUTANT_YIELD_ALL
    :: true -> drop_flow(agent)
#else
    :: !established[agent] -> drop_flow(agent)
    :: else
#endif
    fi
}

inline balancer_handles_packet() {
    via = at;
    visited = 0;
    hops = 0;
    if
    :: kind == continuing && TOKENS -> choice = owner_of[number]
    :: !(kind == continuing && TOKENS) && cached[at] != 0 -> choice = cached[at] - 1
    :: !(kind == continuing && TOKENS) && cached[at] == 0 -> any_agent()
    fi;
    forward_to_choice()
}

byte owner_of[OPENERS + AGENTS + 2];

/* An established owner wins; otherwise the agent with the higher score does, here the lower index. */
inline balancer_handles_hint() {
    agent = number;
    if
    :: cached[at] == 0 ->
        cached[at] = agent + 1;
        cached_established[at] = proved
    :: cached[at] == agent + 1 ->
        cached_established[at] = cached_established[at] || proved
    :: else ->
        if
        :: proved && !cached_established[at] -> loser = cached[at] - 1
        :: !proved && cached_established[at] -> loser = agent
        :: else ->
            if
            :: agent < cached[at] - 1 -> loser = cached[at] - 1
            :: else -> loser = agent
            fi
        fi;
        if
        :: loser != agent ->
            cached[at] = agent + 1;
            cached_established[at] = proved
        :: else
        fi;
        put(yield, 1, loser, 0, 0, 0, at, 0)
    fi
}

inline handle() {
    if
    :: inside ->
        agent = at;
        if
        :: kind == opener -> agent_handles_opener()
        :: kind == continuing -> agent_handles_continuing()
        :: kind == yield -> agent_handles_yield()
        fi
    :: !inside && (kind == opener || kind == continuing) -> balancer_handles_packet()
    :: !inside && kind == hint -> balancer_handles_hint()
    :: !inside && kind == answer ->
        if
        :: caller_connection == 0 -> caller_connection = number
        :: else
        fi
    :: !inside && kind == reset ->
        if
        :: caller_connection == number -> caller_connection = 0
        :: else
        fi
    fi
}

inline record_owners() {
    k = 0;
    do
    :: k < AGENTS ->
        if
        :: connection[k] != 0 -> owner_of[connection[k]] = k
        :: else
        fi;
        k++
    :: else -> break
    od
}

/* The established connection stays at the agent that established it, and no other agent holds the
 * flow established. */
inline check_invariants() {
    assert(established_connection == 0 ||
        (connection[established_owner] == established_connection && established[established_owner]));
    assert(established[0] + established[1] + established[2] <= 1)
}

active proctype system() {
end:
    do
    :: atomic { openers_sent < OPENERS && caller_connection == 0 ->
        openers_sent++;
        any_balancer();
        put(opener, 0, choice, 0, 0, 0, 0, 0) }
    :: atomic { continuing_sent < CONTINUING && caller_connection != 0 ->
        continuing_sent++;
        any_balancer();
        put(continuing, 0, choice, caller_connection, 0, 0, 0, 0) }
    :: atomic { packets[0] != 0 ->
        if
        :: slot = 0
        :: packets[1] != 0 -> slot = 1
        :: packets[2] != 0 -> slot = 2
        fi;
        take();
        handle();
        record_owners();
        check_invariants() }
    /* An embryonic flow times out. */
    :: atomic { connection[0] != 0 && !established[0] -> drop_flow(0) }
    :: atomic { connection[1] != 0 && !established[1] -> drop_flow(1) }
    :: atomic { connection[2] != 0 && !established[2] -> drop_flow(2) }
    /* An agent crashes and loses its flows. */
    :: atomic { crashes < CRASHES && established_connection != 0 ->
        crashes++;
        drop_flow(established_owner);
        established_connection = 0;
        established_owner = 0 }
    /* A balancer evicts its hint, or restarts. */
    :: atomic { cached[0] != 0 -> cached[0] = 0; cached_established[0] = false }
    :: atomic { cached[1] != 0 -> cached[1] = 0; cached_established[1] = false }
    od
}
