/*
 * Ownership of one flow.
 *
 * Packets of the caller reach any balancer, and the balancers' views differ: a balancer without a
 * hint forwards to any agent, and an agent passes on to any agent that isn't on the trail. This
 * covers every pair of views. Packets may be lost, reordered and left behind. TOKENS tells whether
 * the transport has room for the owner's token (1) or the flow is opaque (0).
 *
 * A connection is one admission of the flow by one agent; its number stands for the token's nonce.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_UNPROVED    an agent takes any continuing packet as proof that the caller follows it
 *   MUTANT_YIELD_ALL   an established owner gives the flow up when told to yield
 *   MUTANT_NO_TRAIL    a packet that is passed on doesn't carry its trail
 *   MUTANT_FIRST_RESET the first agent that doesn't know a packet resets the flow (opaque flows)
 *   MUTANT_REUSED_MARK an agent uses the same mark for each admission
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

/* A packet packed into one word; the bag is kept sorted, so that its order adds no states. */
int bag[SLOTS];

#define KIND(p) ((p) & 7)
#define INSIDE(p) (((p) >> 3) & 1)        /* at an agent; otherwise at a balancer or the caller */
#define AT(p) (((p) >> 4) & 3)            /* the agent or balancer */
#define MARK(p) (((p) >> 6) & 7)          /* the connection that it belongs to; a hint's owner */
#define VISITED(p) (((p) >> 9) & 7)       /* agents visited, as a bit set */
#define HOPS(p) (((p) >> 12) & 7)
#define VIA(p) (((p) >> 15) & 1)          /* balancer that took the packet in */
#define ESTABLISHED(p) (((p) >> 16) & 1)  /* of a hint */

byte connection[AGENTS];   /* connection held, 0 if none */
bool established[AGENTS];
byte marks;                /* connections admitted so far */

byte cached[BALANCERS];            /* agent plus one, 0 if unknown */
bool cached_established[BALANCERS];

byte follows;        /* connection that the caller follows, 0 if none */
byte openers;
byte sent;
byte crashes;

byte held;           /* ghost: the established connection */
byte holder;         /* ghost: its agent */

hidden byte slot;
hidden byte agent;
hidden byte choice;
hidden byte loser;
hidden byte k;
hidden int swapped;
hidden byte kind;
hidden byte inside;
hidden byte at;
hidden byte mark;
hidden byte visited;
hidden byte hops;
hidden byte via;
hidden byte proved;

inline sort(x, y) {
    if
    :: bag[x] < bag[y] ->
        swapped = bag[x];
        bag[x] = bag[y];
        bag[y] = swapped
    :: else
    fi
}

/* The highest words come first. A packet that finds no slot is lost. */
inline put(p_kind, p_inside, p_at, p_mark, p_visited, p_hops, p_via, p_established) {
    if
    :: bag[SLOTS - 1] == 0 ->
        bag[SLOTS - 1] = p_kind | (p_inside << 3) | (p_at << 4) | (p_mark << 6) |
            (p_visited << 9) | ((p_hops) << 12) | (p_via << 15) | (p_established << 16);
        sort(1, 2);
        sort(0, 1)
    :: else
    fi
}

inline take() {
    kind = KIND(bag[slot]);
    inside = INSIDE(bag[slot]);
    at = AT(bag[slot]);
    mark = MARK(bag[slot]);
    visited = VISITED(bag[slot]);
    hops = HOPS(bag[slot]);
    via = VIA(bag[slot]);
    proved = ESTABLISHED(bag[slot]);
    bag[slot] = 0;
    sort(0, 1);
    sort(1, 2)
}

inline any_balancer() {
    if
    :: choice = 0
    :: choice = 1
    fi
}

/* Any agent that isn't on the trail; AGENTS if there is none. */
inline any_agent() {
    if
    :: !(visited & 1) -> choice = 0
    :: !(visited & 2) -> choice = 1
    :: !(visited & 4) -> choice = 2
    :: visited == 7 -> choice = AGENTS
    fi
}

inline forward() {
    put(kind, 1, choice, mark, visited, hops + 1, via, 0)
}

inline pass_on() {
#ifndef MUTANT_NO_TRAIL
    visited = visited | (1 << agent);
#endif
    any_agent();
    if
    :: choice < AGENTS ->
        assert(hops < HOP_LIMIT);
        forward()
    :: else ->
        if
        :: kind == continuing ->
            assert(held == 0 || held != mark);
            put(reset, 0, 0, mark, 0, 0, 0, 0)
        :: else /* every agent refused: the caller is told */
        fi
    fi
}

inline tell_owner() {
    put(hint, 0, via, agent, 0, 0, via, established[agent])
}

inline admit() {
#ifdef MUTANT_REUSED_MARK
    connection[agent] = agent + 1;
#else
    marks++;
    connection[agent] = marks;
#endif
    established[agent] = false
}

inline drop_flow(a) {
    connection[a] = 0;
    established[a] = false
}

inline agent_takes_opener() {
    if
    :: connection[agent] != 0 ->
        put(answer, 0, 0, connection[agent], 0, 0, 0, 0)
    :: connection[agent] == 0 ->
        admit();
        put(answer, 0, 0, connection[agent], 0, 0, 0, 0);
        tell_owner()
    :: connection[agent] == 0 ->
        pass_on()
    fi
}

inline deliver() {
    assert(mark == connection[agent]);
    assert(follows == mark);
    if
    :: !established[agent] ->
        assert(held == 0 || held == mark);
        established[agent] = true;
        held = mark;
        holder = agent;
        tell_owner()
    :: else
    fi
}

inline agent_takes_continuing() {
    if
#ifdef MUTANT_UNPROVED
    :: connection[agent] != 0 -> deliver()
#else
    :: connection[agent] != 0 && connection[agent] == mark -> deliver()
#endif
    :: else ->
#ifdef MUTANT_FIRST_RESET
        assert(held == 0 || held != mark);
        put(reset, 0, 0, mark, 0, 0, 0, 0)
#else
        pass_on()
#endif
    fi
}

inline agent_takes_yield() {
    if
#ifdef MUTANT_YIELD_ALL
    :: true -> drop_flow(agent)
#else
    :: !established[agent] -> drop_flow(agent)
    :: else
#endif
    fi
}

inline balancer_takes_packet() {
    via = at;
    visited = 0;
    hops = 0;
    if
    :: kind == continuing && TOKENS -> choice = owner_of[mark]
    :: !(kind == continuing && TOKENS) && cached[at] != 0 -> choice = cached[at] - 1
    :: !(kind == continuing && TOKENS) && cached[at] == 0 -> any_agent()
    fi;
    forward()
}

byte owner_of[OPENERS + AGENTS + 2];

/* The established owner wins, else the one with the higher score, which here is the lower number. */
inline balancer_takes_hint() {
    agent = mark;
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
        :: kind == opener -> agent_takes_opener()
        :: kind == continuing -> agent_takes_continuing()
        :: kind == yield -> agent_takes_yield()
        fi
    :: !inside && (kind == opener || kind == continuing) -> balancer_takes_packet()
    :: !inside && kind == hint -> balancer_takes_hint()
    :: !inside && kind == answer ->
        if
        :: follows == 0 -> follows = mark
        :: else
        fi
    :: !inside && kind == reset ->
        if
        :: follows == mark -> follows = 0
        :: else
        fi
    fi
}

inline remember_owners() {
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

/* The established connection is where it was established, and nowhere else. */
inline check() {
    assert(held == 0 || (connection[holder] == held && established[holder]));
    assert(established[0] + established[1] + established[2] <= 1)
}

active proctype system() {
end:
    do
    :: atomic { openers < OPENERS && follows == 0 ->
        openers++;
        any_balancer();
        put(opener, 0, choice, 0, 0, 0, 0, 0) }
    :: atomic { sent < CONTINUING && follows != 0 ->
        sent++;
        any_balancer();
        put(continuing, 0, choice, follows, 0, 0, 0, 0) }
    :: atomic { bag[0] != 0 ->
        if
        :: slot = 0
        :: bag[1] != 0 -> slot = 1
        :: bag[2] != 0 -> slot = 2
        fi;
        take();
        handle();
        remember_owners();
        check() }
    /* An embryonic flow expires. */
    :: atomic { connection[0] != 0 && !established[0] -> drop_flow(0) }
    :: atomic { connection[1] != 0 && !established[1] -> drop_flow(1) }
    :: atomic { connection[2] != 0 && !established[2] -> drop_flow(2) }
    /* An agent dies with its flows. */
    :: atomic { crashes < CRASHES && held != 0 ->
        crashes++;
        drop_flow(holder);
        held = 0;
        holder = 0 }
    /* A balancer loses its hint, or is replaced. */
    :: atomic { cached[0] != 0 -> cached[0] = 0; cached_established[0] = false }
    :: atomic { cached[1] != 0 -> cached[1] = 0; cached_established[1] = false }
    od
}
