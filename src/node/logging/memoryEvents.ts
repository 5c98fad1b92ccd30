import { define } from "./eventDefinition.js";

/** Lines about the bytes that a gateway holds, and about answers that it cannot interpret. */
export const memoryEvents = {
    "requests refused at the memory limit": define(
        "request",
        ["gateway"],
        "the bytes that are held for slow callers and backend servers are near their limit; new requests get 503, not run",
        ["heldBytes", "limitBytes"],
    ),
    "requests accepted below the memory limit": define(
        "request",
        ["gateway"],
        "enough of the bytes that were held has been released",
        ["heldBytes", "limitBytes"],
    ),
    "ended to free memory": define(
        "request",
        ["gateway"],
        "a request that arrived slowly (`arriving`), an answer that its caller did not read (`unread`) or the largest " +
            "answer of a backend server (`answer`) was ended, since its bytes were the most and the oldest",
        ["stage", "bytes", "ageMilliseconds", "heldBytes"],
    ),
    "invalid status": define(
        "request",
        ["gateway", "entry"],
        "the status of an answer is outside 100 to 599, or its status line cannot be read; the attempt has failed; an entry " +
            "instance states the agent as `peer`, and no address",
        ["requestId", "peer", "address", "detail"],
    ),
} as const;
