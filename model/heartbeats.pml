/*
 * What an agent concludes from the heartbeats of its backend server.
 *
 * An agent lets flows through to a run of the backend server from its serving heartbeat on. It denies a flow
 * that it doesn't track if it has seen all flows of the run. Agents and backend servers restart, together or
 * alone; heartbeats are lost, or arrive late from a run that has ended. Another writer sends heartbeats that
 * pass for those of a run. No clock tells the order of two runs.
 *
 * A run that is known is replaced once it is silent. Time isn't modelled: that it is silent is possible at any
 * moment.
 *
 * An agent that starts beside a run which it hears early asks the balancers whether they know of an agent before
 * it. Until they answer, it denies nothing.
 *
 * Properties: a flow that the backend server holds is neither denied nor reported as ended; the heartbeats of
 * the running backend server are not rejected for good.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_SERVE_EARLY  flows are let through from the first heartbeat on
 *   MUTANT_ONE_EARLY    a single early heartbeat makes the run known, and shows that all flows have been seen
 *   MUTANT_ANY_NUMBER   two heartbeats in a row show it, whatever their numbers
 *   MUTANT_GAP          the heartbeats between an early one and the serving one may be missing
 *   MUTANT_ONE_CONTRADICTION
 *                       one heartbeat of the run known before ends the start of another
 *   MUTANT_END_FLOWS    the flows that the agent tracks end with the run known before
 *   MUTANT_FORGET_START a run that becomes known ends the start of another
 *   MUTANT_REJECT_REPLACED
 *                       heartbeats of a run that was replaced are rejected
 *   MUTANT_UNASKED      an early heartbeat shows that all flows have been seen, to an agent that hasn't asked the
 *                       balancers
 *   MUTANT_SILENT_START the first heartbeat of a run shows that all flows have been
 *                       seen, to an agent that knows nothing and has not found the port closed
 *   MUTANT_UNSEEN       the first heartbeat of a run shows it to an agent that hasn't seen all flows of the run before
 *   MUTANT_FALSE_START  the other writer counts its heartbeats from an early one on
 * With FORGETFUL, all balancers restart with each agent, so that none knows of an agent before. Then one more
 * premise is needed, which a mutant drops:
 *   MUTANT_DEAF         an agent restarts between the first heartbeat of a run and its serving one, after it has let
 *                       flows through to it in the belief that its predecessor still runs
 */

/* Restarts of the agent and the backend server. */
#ifndef RESTARTS
#define RESTARTS 2
#endif

#define SERVING 3
#define LAST 5      /* number of the last heartbeat of a run */
#define SOURCES 5
#define OTHER 4     /* the other writer */
#define ABSENT 7    /* the agent has found the port closed */
#define UNKNOWN 8   /* the agent has heard no heartbeat */
#define NONE 9      /* no run */

byte current = 0;       /* current run of the backend server */
byte sent = 0;          /* heartbeats that it has sent */
bool held = false;      /* it holds the flow */
bool is_heard = false;  /* the agent has heard it */
bool unannounced;       /* it accepted the flow before the agent had heard the run */

byte late_run = NONE;   /* heartbeat that is under way */
byte late_number;
byte other = 0;         /* number of the other writer's last heartbeat */

byte known = UNKNOWN;   /* run that the agent takes to be running */
byte heard;             /* number of its last heartbeat */
bool ended = false;     /* that run has ended, because the port was found closed */
bool seen_all;          /* the agent has seen all flows of that run */
bool tracked = false;   /* the agent tracks the flow */
bool silent_start;      /* an agent that knows nothing has heard a first heartbeat */
bool depends = false;   /* it has, unless an agent before it let some through */
bool follows = false;   /* the balancers know of an agent before this one */
/* Heartbeats in a row of each other run: numbers of the first (0: none) and last, and heartbeats of the known
 * run since. */
byte first[SOURCES];
byte last[SOURCES];
byte contradictions[SOURCES];
#ifdef MUTANT_REJECT_REPLACED
byte replaced = NONE;
#endif

byte restarts = 0;
byte index;
bool all;

#define IS_RUN(value) (value < ABSENT)
#define RUNS (IS_RUN(known) && !ended)

#ifdef MUTANT_ONE_CONTRADICTION
#define MAX_CONTRADICTIONS 1
#else
#define MAX_CONTRADICTIONS 2
#endif

/* Whether a run may be running beside or in place of the known one. Beside one that runs, only a run that may
 * be starting counts. */
#define IS_OPEN(run) (first[run] > 0 && contradictions[run] < MAX_CONTRADICTIONS && (first[run] < SERVING || !RUNS))
#define HAS_CANDIDATE (IS_OPEN(0) || IS_OPEN(1) || IS_OPEN(2) || IS_OPEN(3) || IS_OPEN(4))

#ifdef MUTANT_SERVE_EARLY
#define LETS_THROUGH (RUNS || first[current] > 0)
#else
#define LETS_THROUGH (RUNS && !HAS_CANDIDATE)
#endif

#ifdef MUTANT_ANY_NUMBER
#define HEARD_EARLY(run) true
#else
#define HEARD_EARLY(run) (first[run] < SERVING)
#endif

/* Whether a single heartbeat makes a run known. */
#ifdef MUTANT_ONE_EARLY
#define ENOUGH(number) (number < SERVING)
#else
#define ENOUGH(number) false
#endif

#ifdef MUTANT_GAP
#define FOLLOWS(run, number) (first[run] > 0 && number > last[run])
#else
#define FOLLOWS(run, number) (first[run] > 0 && number == last[run] + 1)
#endif

#ifdef FORGETFUL
#define REMEMBERED false
#else
#define REMEMBERED true
#endif

inline forget_others() {
    for (index : 0 .. SOURCES - 1) {
        first[index] = 0;
        last[index] = 0;
        contradictions[index] = 0
    }
    index = 0
}

#ifdef MUTANT_SILENT_START
#define STARTED_SILENTLY false
#else
#define STARTED_SILENTLY silent_start
#endif

#ifdef MUTANT_UNSEEN
#define SAW_PREDECESSOR true
#else
#define SAW_PREDECESSOR seen_all
#endif

/* Another run is taken to be running. It may hold flows that the agent tracks. */
inline replace(source, number) {
    if
    :: known == UNKNOWN ->
        depends = (HEARD_EARLY(source) && !STARTED_SILENTLY);
#ifdef MUTANT_UNASKED
        all = depends
#endif
    :: known == ABSENT || ended -> all = true; depends = false
    :: known < ABSENT && !ended ->
        all = (first[source] == 1 && SAW_PREDECESSOR);
        depends = (first[source] == 1 && depends)
#ifdef MUTANT_END_FLOWS
        ; assert(!(all && tracked && held)); tracked = false
#endif
    fi;
#ifdef MUTANT_REJECT_REPLACED
    if
    :: IS_RUN(known) -> replaced = known
    :: !IS_RUN(known)
    fi;
#endif
    known = source;
    ended = false;
    heard = number;
    seen_all = all;
    all = false;
#ifdef MUTANT_FORGET_START
    forget_others()
#else
    first[source] = 0;
    last[source] = 0;
    contradictions[source] = 0
#endif
}

/* The known run may be silent, unless it has ended or is none. */
inline replace_if_silent(source, number) {
    if
    :: replace(source, number)
    :: RUNS
    fi
}

inline receive(source, number) {
    is_heard = (is_heard || source == current);
    silent_start = (silent_start || (known == UNKNOWN && number == 1));
    if
    :: known == source && number > heard ->
        heard = number;
        for (index : 0 .. SOURCES - 1) {
            if
            :: first[index] > 0 && contradictions[index] < MAX_CONTRADICTIONS -> contradictions[index]++
            :: else
            fi
        }
        index = 0;
        if
        :: HAS_CANDIDATE
        :: !HAS_CANDIDATE ->
            seen_all = (seen_all && !ended);
            depends = (depends && !ended);
            ended = false
        fi
    :: known == source && number <= heard
#ifdef MUTANT_REJECT_REPLACED
    :: known != source && source == replaced -> assert(source != current)
#endif
    :: known != source && number <= last[source]
    :: known != source && number > last[source] ->
        contradictions[source] = 0;
        if
        :: FOLLOWS(source, number) && number >= SERVING ->
            last[source] = number;
            replace_if_silent(source, number)
        :: FOLLOWS(source, number) && number < SERVING ->
            last[source] = number
        :: !FOLLOWS(source, number) ->
            first[source] = number;
            last[source] = number;
            if
            :: ENOUGH(number) -> replace_if_silent(source, number)
            :: !ENOUGH(number)
            fi
        fi
    fi
}

inline restart_agent() {
    known = UNKNOWN;
    ended = false;
    tracked = false;
    seen_all = false;
    depends = false;
    follows = REMEMBERED;
    heard = 0;
    is_heard = false;
    silent_start = false;
    forget_others()
}

/* The backend server sends its first heartbeat some time after its start. */
inline restart_backend() {
    current++;
    sent = 0;
    held = false;
    is_heard = false;
    unannounced = false
}

#if defined(FORGETFUL) && !defined(MUTANT_DEAF)
#define MAY_RESTART_AGENT (sent == 0 || sent >= SERVING || !held || !unannounced)
#else
#define MAY_RESTART_AGENT true
#endif

#ifdef MUTANT_FALSE_START
#define FIRST_OF_OTHER 1
#else
#define FIRST_OF_OTHER SERVING
#endif

init {
    sent = 1;
    do
    /* The agent hears the first heartbeat. */
    :: atomic { sent == 0 -> sent = 1; receive(current, 1) }
    :: atomic { sent > 0 && sent < LAST ->
        sent++;
        if
        :: receive(current, sent)
        :: skip
        :: late_run == NONE -> late_run = current; late_number = sent
        fi }
    :: atomic { late_run != NONE -> receive(late_run, late_number); late_run = NONE; late_number = 0 }
#ifdef OTHER_WRITER
    :: atomic { other < SERVING + 1 ->
        other = (other == 0 -> FIRST_OF_OTHER : other + 1);
        receive(OTHER, other) }
    /* A single one, with an early number. */
    :: atomic { other == 0 -> other = SERVING + 1; receive(OTHER, 1) }
#endif
    /* A caller opens the flow; the backend server takes it, whatever run the agent knows. */
    :: atomic { !held && LETS_THROUGH -> held = true; tracked = true; unannounced = !is_heard }
    /* The caller closes the flow. */
    :: atomic { held && tracked -> held = false; tracked = false; unannounced = false }
    /* The backend server sends a packet of a flow that the agent doesn't track. */
    :: atomic { held && !tracked -> tracked = true }
    :: atomic { restarts < RESTARTS && MAY_RESTART_AGENT -> restarts++; restart_agent() }
    :: atomic { restarts < RESTARTS -> restarts++; restart_backend() }
    /* The agent finds the port closed before the backend server starts again. */
    :: atomic { restarts < RESTARTS ->
        restarts++;
        restart_backend();
        if
        :: IS_RUN(known) -> ended = true
        :: !IS_RUN(known) -> known = ABSENT
        fi;
        tracked = false;
        forget_others() }
    /* Both lose power, perhaps with the balancers, and the first heartbeat fails or is under way for long. */
    :: atomic { restarts < RESTARTS ->
        restarts++;
        restart_backend();
        restart_agent();
        sent = 1;
        if
        :: follows = false
        :: skip
        fi;
        if
        :: skip
        :: late_run == NONE -> late_run = current; late_number = 1
        fi }
    /* The balancers have told whether they know of an agent before this one. */
    :: atomic { depends && IS_RUN(known) && (follows || !seen_all) ->
        if
        :: follows -> seen_all = false; depends = false
        :: !follows -> seen_all = true
        fi }
    /* A balancer asks whether the backend server holds the flow. */
    :: atomic { !tracked && (known == ABSENT || (IS_RUN(known) && (ended || seen_all))) -> assert(!held) }
    :: restarts == RESTARTS && sent == LAST && late_run == NONE -> break
    od
}
