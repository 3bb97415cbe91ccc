/*
 * Ownership of one pass-through flow.
 *
 * A balancer holds nothing that matters: it tries a packet at any agent that the packet hasn't
 * been at, and an agent that can't take it returns it. Copies of the opener may reach both
 * targets, so both may hold the flow half open; the caller follows the first answer and
 * acknowledges that target's number. Agents and backend servers restart, and packets may be lost
 * and left behind. The number of a half-open flow stands for the sequence number of the backend
 * server's answer.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_NO_NUMBER      an agent takes any continuing packet for a flow that is half open there
 *   MUTANT_BLIND_RESTART  a restarted agent denies flows that it doesn't know
 *   MUTANT_FIRST_DENIAL   a balancer resets a flow at the first denial
 *   MUTANT_PARTIAL_VIEW   a balancer that doesn't know all targets resets a flow
 *   MUTANT_ENDED_HALF     an agent says of a half-open flow that it ended with its backend server
 */

#define AGENTS 2
#define OPENERS 2
#define CONTINUING 3
#define AGENT_RESTARTS 1
#define BACKEND_RESTARTS 1
#define SLOTS 2

#define free 0
#define opener 1
#define continuing 2
#define answer 3

#define half 1
#define open 2

/* A packet on its way. */
byte kind[SLOTS];
byte at[SLOTS];         /* agent; unused for answers */
byte number[SLOTS];     /* number acknowledged or answered */
byte visited[SLOTS];    /* agents that denied it, as a bit set */

/* Agents. */
byte knows[AGENTS];     /* state of the flow as the agent sees it */
byte sees[AGENTS];      /* number that its backend server answered with */
bool ended[AGENTS];     /* the flow has ended with a run of the backend server */
bool certain[AGENTS] = true;   /* whether it has seen all flows of its backend server */

/* Backend servers. */
byte holds[AGENTS];
byte holds_number[AGENTS];

byte numbers;           /* numbers drawn so far */
byte follows;           /* number that the caller follows, 0 if none */
byte openers;
byte sent;
byte agent_restarts;
byte backend_restarts;

hidden byte slot;
hidden byte agent;
hidden byte spare;

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

/* Puts a packet into a free slot; without one it is lost. */
inline put(p_kind, p_at, p_number, p_visited) {
    if
    :: kind[0] == free -> spare = 0
    :: kind[0] != free && kind[1] == free -> spare = 1
    :: else -> spare = SLOTS
    fi;
    if
    :: spare < SLOTS ->
        kind[spare] = p_kind;
        at[spare] = p_at;
        number[spare] = p_number;
        visited[spare] = p_visited
    :: else
    fi
}

inline take() {
    kind[slot] = free;
    at[slot] = 0;
    number[slot] = 0;
    visited[slot] = 0
}

/* The flow is open at a backend server that the caller follows. */
#define HELD (follows != 0 && ((holds[0] == open && holds_number[0] == follows) || \
    (holds[1] == open && holds_number[1] == follows)))

/* An agent denies a packet: the balancer tries another one, or gives it up. */
inline deny() {
    visited[slot] = visited[slot] | (1 << at[slot]);
    if
    :: kind[slot] == continuing ->
#ifdef MUTANT_FIRST_DENIAL
        assert(!(HELD && number[slot] == follows));
#endif
        if
        :: visited[slot] == 3 ->
            /* Everyone has denied it: the caller is reset. */
            assert(!(HELD && number[slot] == follows));
            take()
        :: visited[slot] != 3 ->
#ifdef MUTANT_PARTIAL_VIEW
            assert(!(HELD && number[slot] == follows));
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

/* The backend server gets an opener: it answers with its number, a new one if it holds nothing. */
inline backend_opens() {
    if
    :: holds[agent] == free ->
        numbers++;
        holds[agent] = half;
        holds_number[agent] = numbers
    :: else
    fi;
    take();
    ended[agent] = false;
    put(answer, 0, holds_number[agent], 0);
    knows[agent] = half;
    sees[agent] = holds_number[agent]
}

/* The backend server gets a continuing packet. */
inline backend_takes() {
    if
    :: holds[agent] != free && holds_number[agent] == number[slot] ->
        holds[agent] = open;
        /* It answers, so its agent learns of the flow. */
        knows[agent] = open;
        sees[agent] = holds_number[agent];
        take()
    :: else ->
        /* It bounces the packet. */
        deny()
    fi
}

inline agent_takes() {
    agent = at[slot];
    if
    :: kind[slot] == opener ->
        if
        :: knows[agent] == open -> take()   /* a late copy */
        :: knows[agent] == half -> backend_opens()
        :: knows[agent] == free -> backend_opens()
        :: knows[agent] == free -> deny()   /* it has no room */
        fi
    :: kind[slot] == continuing ->
        if
        :: knows[agent] == open ->
            /* What an agent takes for its own is its own, or left over from the same caller. */
            assert(!(HELD && number[slot] == follows) || holds_number[agent] == follows);
            backend_takes()
        :: knows[agent] == half ->
#ifdef MUTANT_NO_NUMBER
            knows[agent] = open;
            take()
#else
            if
            :: sees[agent] == number[slot] ->
                knows[agent] = open;
                backend_takes()
            :: else -> deny()
            fi
#endif
        :: knows[agent] == free ->
#ifdef MUTANT_BLIND_RESTART
            deny()
#else
            if
            :: ended[agent] ->
                /* The caller is reset. */
                assert(!(HELD && number[slot] == follows));
                take()
            :: certain[agent] && !ended[agent] -> deny()
            :: !certain[agent] && !ended[agent] -> backend_takes()
            fi
#endif
        fi
    fi
}

active proctype system() {
end:
    do
    :: atomic {
        openers < OPENERS && follows == 0 ->
            openers++;
            any_agent();
            put(opener, agent, 0, 0)
       }
    :: atomic {
        sent < CONTINUING && follows != 0 ->
            sent++;
            any_agent();
            put(continuing, agent, follows, 0)
       }
    :: atomic {
        kind[0] == answer || kind[1] == answer ->
            if
            :: kind[0] == answer -> slot = 0
            :: kind[1] == answer -> slot = 1
            fi;
            if
            :: follows == 0 -> follows = number[slot]
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
            agent_takes()
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
            knows[agent] = free;
            sees[agent] = 0;
            ended[agent] = false;
            certain[agent] = false
       }
    :: atomic {
        backend_restarts < BACKEND_RESTARTS ->
            backend_restarts++;
            any_agent();
            holds[agent] = free;
            holds_number[agent] = 0;
#ifdef MUTANT_ENDED_HALF
            ended[agent] = ended[agent] || knows[agent] != free;
#else
            ended[agent] = ended[agent] || knows[agent] == open;
#endif
            knows[agent] = free;
            sees[agent] = 0;
            certain[agent] = true
       }
    od
}
