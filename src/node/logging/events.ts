import type { DecisionKind } from "./decisionLog.js";
import { define, errorFields as error, type EventDefinition, type EventGroup } from "./eventDefinition.js";
import { membershipEvents } from "./membershipEvents.js";
import { memoryEvents } from "./memoryEvents.js";
import { weightEvents } from "./weightEvents.js";

const both = ["agent", "gateway"] as const;
const anyProgram = ["entry", "agent", "gateway"] as const;
const failedRequest = ["requestId", "path", "durationMilliseconds", "error"] as const;
const costFields = [
    "promptTokens",
    "expectedTokens",
    "expectedCost",
    "remainingWork",
    "expectedFirstEvent",
    "expectedEnd",
    "slowdown",
] as const;
const decision = ["requestId", "deployment", "outcome", "choice", "reason", "candidates"] as const;

/** Decisions by kind; the message of their lines is `KIND decision`. */
const decisionEvents: Readonly<Record<DecisionKind, EventDefinition>> = {
    routing: define(
        "request",
        ["entry", "gateway"],
        "a backend server was chosen for an attempt, or none was available",
        [...decision, "attempt", "version", "orderSequence", "weightsVerified", "reportAge", ...costFields],
    ),
    admission: define("request", ["entry", "gateway"], "a request was refused before it ran", [
        ...decision,
        "fingerprint",
        "queued",
        "open",
        "places",
        "own",
        "free",
        "gateways",
        "contenders",
        "usable",
        "draining",
        "ejected",
        "notServing",
        "unverified",
        "paused",
        "outsideRegions",
        "evacuated",
        "cold",
        "allowedRegions",
        "waited",
        "priority",
        "hasReturned",
        "retryAfterSeconds",
    ]),
    retry: define(
        "request",
        ["entry", "gateway"],
        "an attempt failed, and the request was retried or abandoned; or it is silent, and another was started beside it or not",
        [
            ...decision,
            "peer",
            "fingerprint",
            "budget",
            "ran",
            "failure",
            "detail",
            "endedBy",
            "framing",
            "receivedBytes",
            "silence",
            "remaining",
        ],
    ),
    completion: define(
        "request",
        ["gateway"],
        "an answer that is delimited only by the close of its connection was accepted as complete",
        [...decision, "peer", "status", "framing", "receivedBytes"],
    ),
    idempotency: define(
        "request",
        ["agent"],
        "the owner of an idempotency key answered or refused a request",
        decision,
    ),
    placement: define("weights", ["entry"], "a copy of a deployment was added, removed or kept", decision),
    hold: define("belief", anyProgram, "a hold was renewed, confirmed by witnesses or released", decision),
    activation: define("weights", ["agent"], "the activation of a copy was ordered or postponed", decision),
};

const namedEvents = {
    "the daemon could not start": define("process", anyProgram, "a process could not start and exits", ["error"]),
    "entry instance started": define("process", ["entry"], "an entry instance accepts requests"),
    "gateway started": define("process", ["gateway"], "a gateway listens; it is ready once it knows a configuration"),
    "agent started": define("process", ["agent"], "an agent follows its engine", ["engine", "zone"]),
    draining: define("process", anyProgram, "the process received SIGTERM or SIGINT", ["signal"]),
    drained: define("process", ["gateway"], "no request is in progress, or the time limit of the drain has passed", [
        "open",
        "unsentBytes",
        "queued",
    ]),
    stopped: define("process", anyProgram, "all resources are released, and the process exits"),
    "settings reloaded": define("process", both, "the changed settings file was applied"),
    "changed settings have faults and are left out": define("process", both, "the previous settings stay in force", [
        "error",
    ]),
    "tick failed": define("process", ["agent"], "one run of the agent's periodic tasks failed", error),
    "log not reachable": define("dependency", both, "a read of the log failed, and the previous one succeeded", error),
    "log reachable again": define("dependency", both, "a read of the log succeeded, and the previous one failed"),
    "log restored": define(
        "dependency",
        both,
        "the log was restored from a backup; records that it has not confirmed yet stay in force",
        ["topic", "era", "previous", "source", "peer", "nextOffset", "carried"],
    ),
    "silent long poll abandoned": define(
        "dependency",
        ["gateway"],
        "records arrived that a long poll had to return, and it did not; its connection is reset",
        ["topic", "step", "peer", "nextOffset"],
    ),
    "log read failed": define("dependency", ["entry"], "a read of the log failed", error),
    "log has lost records": define("dependency", ["entry"], "records expired before they were read"),
    "instance list read failed": define("dependency", anyProgram, "the list of instances could not be read", error),
    "instance registered": define("dependency", ["gateway"], "the instance's own record is in the log"),
    "instance not registered": define(
        "dependency",
        ["gateway"],
        "the instance's own record could not be written",
        error,
    ),
    "gateways not read": define("dependency", ["agent"], "an agent without a relay could not read the gateways", error),
    "relay followed": define("dependency", both, "the process has started to follow a relay of records", ["peer"]),
    "relay lost": define("dependency", both, "the connection to a relay of records has ended", ["peer", "reason"]),
    "relay stream ended": define("dependency", ["entry"], "a follower of this relay has disconnected", ["peer"]),
    "agent followed": define("dependency", ["gateway"], "the load reports of an agent have begun", ["peer"]),
    "agent lost": define("dependency", ["gateway"], "the load reports of an agent have ended", ["peer", "reason"]),
    "engine reachable": define("dependency", ["agent"], "the engine responds again"),
    "engine not reachable": define("dependency", ["agent"], "the engine no longer responds", error),
    "append failed": define("dependency", ["entry"], "a record could not be appended", error),
    "suspicion could not be shared": define("dependency", ["entry"], "a peer could not be told of a crash", error),
    "records changed": define("belief", both, "records of a topic were received from the log or a relay", [
        "topic",
        "source",
        "peer",
        "ageMilliseconds",
        "keys",
        "unreadable",
    ]),
    "record not applied": define("belief", both, "a changed record made its handler fail, and was left out", [
        "topic",
        "source",
        "peer",
        "key",
        "detail",
    ]),
    "process stalled": define("belief", both, "the process did not run for a time, and data waited for it", [
        "durationMilliseconds",
        "suspendedMilliseconds",
    ]),
    "responses take much of the process": define(
        "belief",
        ["gateway"],
        "the responses of a backend server have used up turns of the event loop for 50 ms or more within a second, as those " +
            "of a peer that sends a chunk for each byte do",
        ["peer", "address", "service", "turns", "busyMilliseconds"],
    ),
    "list of backend servers current": define("belief", ["gateway"], "the list is up to date again"),
    "list of backend servers outdated": define("belief", ["gateway"], "the list was not confirmed in time"),
    "backend server changed": define("belief", ["gateway"], "an entry of the list was added, changed or removed", [
        "peer",
        "change",
        "source",
        "address",
        "state",
        "weights",
    ]),
    "server notice": define(
        "belief",
        ["gateway"],
        "a backend server announced in an answer that it leaves, pauses or has a rate limit, or stopped stating the limit",
        [
            "lifetime",
            "notice",
            "source",
            "ageMilliseconds",
            "durationMilliseconds",
            "requestsPerSecond",
            "intervalMilliseconds",
            "nextInMilliseconds",
        ],
    ),
    "entry of a backend server cannot be read": define("belief", ["gateway"], "an entry of the list was ignored"),
    "backend server reported": define("belief", ["gateway"], "the phase or the weights of a backend server changed", [
        "peer",
        "phase",
        "weights",
        "orderSequence",
        "weightsVerified",
        "verificationReported",
        "ageMilliseconds",
    ]),
    "agent report expired": define("belief", ["gateway"], "the last report of an agent is too old to be used"),
    "backend server checked": define(
        "belief",
        ["gateway"],
        "a connection broke before an answer was complete, or an answer ended with its connection; the backend server has " +
            "crashed if its address refuses connections",
        ["peer", "outcome", "crashId", "requests", "answering", "parts", "fingerprints"],
    ),
    "standing of a request changed": define(
        "belief",
        ["gateway"],
        "a request or a part of prompts was condemned because backend servers crashed while running it, or cleared by " +
            "an answer or expiry",
        ["fingerprint", "cause", "change", "source", "crashes", "crashIds", "ageMilliseconds"],
    ),
    "condemned request written": define(
        "dependency",
        ["gateway"],
        "the record of a condemned request was written to the log or deleted from it",
        ["fingerprint", "condemned", "offset"],
    ),
    "condemned request not written": define("dependency", ["gateway"], "the record could not be written to the log", [
        "fingerprint",
        ...error,
    ]),
    "condemned request cannot be read": define("belief", ["gateway"], "an invalid record was ignored", ["fingerprint"]),
    "registration dropped": define(
        "belief",
        ["gateway"],
        "a gateway that did not respond for a long time is no longer registered",
        ["peer", "registered", "offset"],
    ),
    "registration not dropped": define("dependency", ["gateway"], "the registration could not be dropped", [
        ...error,
        "registered",
    ]),
    "crashes not exchanged": define("dependency", ["gateway"], "evidence was not exchanged with a gateway", ["peer"]),
    "backend server crashed": define("belief", ["entry"], "an entry instance learned of the crash of a backend server"),
    "instance is no longer live": define("belief", ["entry"], "an instance is leaving, or is gone from the list"),
    ...memoryEvents,
    "request rejected": define(
        "request",
        ["entry", "gateway"],
        "a request was rejected before it was queued: no route, invalid key, exceeded limit, unsupported transfer " +
            "coding, a head or a body that cannot be parsed, read too late in a shutdown, or an unexpected exception " +
            "(`internal`); entry instances log an exception as `request failed unexpectedly`",
        [
            "requestId",
            "status",
            "reason",
            "host",
            "path",
            "durationMilliseconds",
            "limit",
            "limitMilliseconds",
            "limitRevision",
            "revision",
            "configurationAgeMilliseconds",
            "detail",
        ],
    ),
    "request failed unexpectedly": define("request", anyProgram, "an exception ended a request", failedRequest),
    "answer cut off": define(
        "request",
        ["entry", "gateway"],
        "the process closed a connection before its answer was sent completely, or the caller did so during a shutdown",
        [
            "requestId",
            "path",
            "durationMilliseconds",
            "limit",
            "limitMilliseconds",
            "limitRevision",
            "revision",
            "configurationAgeMilliseconds",
            "closedBy",
            "reason",
            "headSent",
            "ended",
            "peer",
            "failure",
            "detail",
        ],
    ),
    "connection closed late": define(
        "request",
        ["gateway"],
        "a limit on an idle connection was enforced late, since the process stood still",
        ["reason", "lateMilliseconds"],
    ),
    "request arrived after its connection was closed": define(
        "request",
        ["gateway"],
        "a request crossed the close of its connection by the gateway; it is neither run nor answered",
        ["requestId", "path", "revision", "configurationAgeMilliseconds"],
    ),
    "backend server failed": define("request", ["agent"], "a request failed at the backend server", error),
    "log lines dropped": define("process", both, "lines were dropped because the reader fell behind", ["lines"]),
} satisfies Readonly<Record<string, EventDefinition>>;

/** All kinds of log lines by their message. */
export const events: ReadonlyMap<string, EventDefinition> = new Map([
    ...Object.entries(decisionEvents).map(([kind, event]) => [`${kind} decision`, event] as const),
    ...Object.entries<EventDefinition>(namedEvents),
    ...Object.entries(membershipEvents),
    ...Object.entries(weightEvents),
]);

const groupTitles: Readonly<Record<EventGroup, string>> = {
    request: "Decisions on requests",
    belief: "Changes of the state known to a process",
    dependency: "Availability of dependencies",
    weights: "Weights",
    process: "Processes",
};

/**
 * Renders the reference of all events as Markdown.
 *
 * @returns the page docs/events.md
 */
export function renderEventsDocumentation(): string {
    const sections = (Object.keys(groupTitles) as EventGroup[]).map(group => {
        const rows = [...events].filter(([, event]) => event.group === group).sort(([left], [right]) =>
            left.localeCompare(right, "en")
        );
        return [
            `## ${groupTitles[group]}`,
            "",
            "| Message | Programs | Written when | Fields |",
            "| --- | --- | --- | --- |",
            ...rows.map(([message, { fields, meaning, programs }]) =>
                `| \`${message}\` | ${programs.join(", ")} | ${meaning} | ` +
                `${fields.map(field => `\`${field}\``).join(", ")} |`
            ),
            "",
        ].join("\n");
    });
    return [
        "# Events",
        "",
        "Every log line is a JSON object with `time`, `level`, `program`, `instance` and `msg`. This page lists the",
        "values of `msg`. It is generated by `goldcrestpoint events`; a test compares it with the code.",
        "",
        ...sections,
    ].join("\n");
}
