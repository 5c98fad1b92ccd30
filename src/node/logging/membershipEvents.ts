import { define, type EventDefinition } from "./eventDefinition.js";

/** Log lines about the configuration and the declared versions that a gateway acts on, by their message. */
export const membershipEvents: Readonly<Record<string, EventDefinition>> = {
    "configuration in force": define("belief", ["gateway"], "the gateway applied a newer configuration", [
        "revision",
        "source",
        "peer",
        "ageMilliseconds",
        "routes",
    ]),
    "part of the configuration not valid": define(
        "belief",
        ["gateway"],
        "a field of the configuration was left out, or names a region that does not exist; the rest is in force",
        ["revision", "problem"],
    ),
    "configuration cannot be read": define("belief", ["gateway"], "the previous configuration stays in force"),
    "older configuration left out": define("belief", ["gateway"], "a record was older than the one in force"),
    "version declared": define("belief", ["gateway"], "a version of weights was declared, at most this long ago", [
        "version",
        "source",
        "peer",
        "ageMilliseconds",
        "estimate",
    ]),
    "version dated": define("belief", ["gateway"], "a relay knows more exactly when a version was declared", [
        "version",
        "ageMilliseconds",
    ]),
    "declared version cannot be read": define("belief", ["gateway"], "the previous version stays declared"),
    "evacuation begun": define("belief", ["gateway"], "nothing more is sent to the backend servers of a zone", [
        "zone",
        "source",
        "peer",
        "ageMilliseconds",
    ]),
    "evacuation lifted": define("belief", ["gateway"], "the backend servers of a zone get requests again", [
        "zone",
        "source",
        "peer",
        "ageMilliseconds",
    ]),
    "evacuated zone not known": define(
        "belief",
        ["gateway"],
        "the settings do not name the zone of an evacuation, which is in effect all the same",
        ["zone"],
    ),
    "evacuation cannot be read": define("belief", ["gateway"], "the key of a record names no zone; it is ignored"),
    "slow start begun": define(
        "belief",
        ["gateway"],
        "a backend server is cold, or may be; this gateway sends it requests at intervals, or none if it is no holder",
        ["lifetime", "requestsPerSecond", "gateways", "holder", "intervalMilliseconds", "durationMilliseconds"],
    ),
    "slow start ended": define("belief", ["gateway"], "a backend server is no longer cold", [
        "lifetime",
        "durationMilliseconds",
    ]),
};
