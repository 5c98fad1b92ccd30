import { define, errorFields as error, type EventDefinition } from "./eventDefinition.js";

/** Log lines about the transfer, the staging and the load of weights by their message. */
export const weightEvents: Readonly<Record<string, EventDefinition>> = {
    "version wanted": define("weights", ["agent"], "the version to load has changed", ["model", "version"]),
    "origin read started": define("weights", ["agent"], "a chunk is read from the origin", ["index", "reason"]),
    "origin read failed": define("weights", ["agent"], "a read from the origin failed", error),
    "manifest read failed": define("weights", ["agent"], "the manifest of a set could not be read or verified", error),
    "stalled source": define("weights", ["agent"], "a transfer without progress was abandoned", ["index", "source"]),
    "transfer failed": define("weights", ["agent"], "a transfer from a peer failed", ["index", "source", "code"]),
    "transfer window reduced": define(
        "weights",
        ["agent"],
        "fewer bytes are requested in advance, since answers waited too long on the instance's link",
        ["windowBytes"],
    ),
    "corrupt chunk": define("weights", ["agent"], "a chunk did not match its digest", ["index", "source", "avoided"]),
    "chunk not staged": define("weights", ["agent"], "a verified chunk could not be staged", ["index", "code"]),
    "chunk not staged ahead": define("weights", ["agent"], "a chunk was not staged before the load", error),
    "set complete": define("weights", ["agent"], "every chunk of a weight set is held and verified", [
        "chunks",
        "durationMilliseconds",
        "originBytes",
        "peerReceivedBytes",
        "peerSentBytes",
    ]),
    "set forgotten": define("weights", ["agent"], "the chunks of a weight set are no longer kept"),
    "staged chunks imported": define("weights", ["agent"], "staged chunks were read from the engine", ["chunks"]),
    "staged chunks not listed": define("weights", ["agent"], "the staged chunks could not be listed", error),
    "staged chunks verified too long ago": define(
        "weights",
        ["agent"],
        "the process stood still or the engine restarted before the load, so the staged chunks are verified again",
        ["model", "version", "ageMilliseconds", "verifications"],
    ),
    "weights not staged": define("weights", ["agent"], "the version to load could not be staged", error),
    "load waits": define("weights", ["agent"], "the load of a version is postponed", ["reason", "version"]),
    "drains before the last chunks": define(
        "weights",
        ["agent"],
        "the engine gets no new requests until it loads",
        [
            "version",
            "reason",
            "share",
            "running",
        ],
    ),
    "load ordered": define("weights", ["agent"], "the engine was ordered to load a version", [
        "version",
        "reason",
        "outcome",
        "running",
        "sinceDeclared",
    ]),
    "load order failed": define("weights", ["agent"], "the order was refused, or its outcome is unknown", error),
    "order failed": define("weights", ["agent"], "an order to the engine failed", error),
};
