import { expect } from "earl";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { call, type GatewayResponse } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment } from "./standIn/deployment.js";
import { createHead, proof, startRawRunner } from "./standIn/rawRunner.js";

const eventStream = "content-type: text/event-stream";
const chunked = "transfer-encoding: chunked";
const errorText = "ERROR-TEXT";

/** How an answer ends: as its framing requires, or by a close or reset of its connection. */
type Ending = "whole" | "closed" | "reset";

/** Answer to a request; its body is sent in chunks, with a length, or until the connection ends. */
interface Answer {
    readonly status?: string;
    readonly fields?: readonly string[];
    readonly framing: "chunked" | "length" | "connection";
    readonly body: string;
    readonly ending: Ending;
    /** Identifier that the answer names. Default: that of the request. */
    readonly attemptId?: string;
    readonly proven?: boolean;
}

function createEvents(first: number, last: number): string {
    return Array.from({ length: last - first + 1 }, (...[, index]) => `id: ${first + index}\ndata: part\n\n`).join("");
}

function write(socket: Socket, attemptId: string, answer: Answer): void {
    const { body, ending, framing } = answer;
    const length = ending === "whole" ? body.length : body.length + 100;
    const framingFields = { chunked: [chunked], length: [`content-length: ${length}`], connection: [] };
    const head = createHead(
        answer.status ?? "200 OK",
        `attempt-id: ${answer.attemptId ?? attemptId}`,
        ...(answer.proven === false ? [] : [proof]),
        ...(answer.fields ?? [eventStream]),
        ...framingFields[framing],
    );
    const chunks = body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`;
    const content = framing === "chunked" ? `${chunks}${ending === "whole" ? "0\r\n\r\n" : ""}` : body;
    socket.write(head + content, () => {
        if (ending === "reset") {
            // Lets the gateway read the bytes before the reset discards them.
            setTimeout(() => socket.resetAndDestroy(), 20);
        }
        else if (ending === "closed" || framing === "connection") {
            socket.end();
        }
    });
}

const routes = [
    ...operatorConfiguration.routes,
    { ...operatorConfiguration.routes[2], name: "once", path_prefix: "/once/", resumable: false },
];

/** Answers to the first request for a stream, and to one that resumes it, as JSON in the header `x-answers`. */
interface Answers {
    readonly first: Answer;
    /** Undefined for bytes that are no answer. */
    readonly resumed?: Answer;
}

const answersHeader = "x-answers";

/** Starts a gateway with two runners that give the answers which requests name. */
async function startStreams(): Promise<TestDeployment> {
    const deployment = await startDeployment({
        "routing.failuresUntilEjected": "100",
        "gateway.fleetRetries": "1000",
    });
    deployment.configure({ version: 2, routes });
    for (const id of ["i-1", "i-2"]) {
        const runner = deployment.stack.use(
            await startRawRunner((socket, { attemptId, headers, resumeAfter }) => {
                const { first, resumed } = JSON.parse(headers.get(answersHeader) ?? "{}") as Partial<Answers>;
                const answer = resumeAfter === undefined ? first : resumed;
                if (answer === undefined) {
                    socket.end(`${errorText}\n\n`);
                }
                else {
                    write(socket, attemptId, answer);
                }
            }),
        );
        await deployment.addRunnerRecord(id, runner.address, { slots: 100 });
    }
    return deployment;
}

function callStream(deployment: TestDeployment, path: string, answers: Answers): Promise<GatewayResponse> {
    return call(deployment, path, { headers: { [answersHeader]: JSON.stringify(answers) } });
}

function describeAnswer({ body, complete, status }: GatewayResponse): readonly unknown[] {
    return [status, complete, body];
}

const begun: Answer = { framing: "chunked", body: createEvents(1, 3), ending: "reset" };

const breaks: Readonly<Record<string, Answer>> = {
    "in chunks, reset": begun,
    "in chunks, closed within an event": { ...begun, body: `${begun.body}id: 4\nda`, ending: "closed" },
    "with a length, closed": { ...begun, framing: "length", ending: "closed" },
    "until the connection ends, reset": { ...begun, framing: "connection" },
    "until the connection ends, closed within an event": {
        framing: "connection",
        body: `${begun.body}id: 4\nda`,
        ending: "closed",
    },
    "until the connection ends, closed within the empty line": {
        framing: "connection",
        body: `${begun.body}id: 4\ndata: part\n`,
        ending: "closed",
    },
};

const failure: Answer = {
    status: "500 Internal Server Error",
    fields: ["content-type: text/plain"],
    framing: "length",
    body: `${errorText}\n\n${errorText}\n\n`,
    ending: "whole",
};

/** Answers of the second runner that must not reach the caller. */
const unusable: Readonly<Record<string, Answer>> = {
    "500": failure,
    "500 in chunks": { ...failure, framing: "chunked" },
    "500 until the connection ends": { ...failure, framing: "connection", ending: "closed" },
    "500 until the connection is reset": { ...failure, framing: "connection", ending: "reset" },
    "500 as an event stream": { ...failure, fields: [eventStream], body: `id: 4\ndata: ${errorText}\n\n` },
    "400 as an event stream": {
        ...failure,
        status: "400 Bad Request",
        fields: [eventStream],
        body: `id: 4\ndata: ${errorText}\n\n`,
    },
    "404 cut off": { ...failure, status: "404 Not Found", ending: "closed" },
    "503": { ...failure, status: "503 Service Unavailable" },
    "503, not run": {
        ...failure,
        status: "503 Service Unavailable",
        fields: ["not-executed: 1", "content-type: text/plain"],
    },
    "200 as a page": { ...failure, status: "200 OK", fields: ["content-type: text/html"] },
    "200 as a page until the connection ends": {
        ...failure,
        status: "200 OK",
        fields: ["content-type: text/html"],
        framing: "connection",
        ending: "closed",
    },
    "200 without a type": { ...failure, status: "200 OK", fields: [] },
    "200 with events that have no identifier": {
        ...failure,
        status: "200 OK",
        fields: [eventStream],
        body: `event: error\ndata: ${errorText}\n\n`,
    },
    "200 for another request": {
        ...failure,
        status: "200 OK",
        fields: [eventStream],
        body: `id: 4\ndata: ${errorText}\n\n`,
        attemptId: "another",
    },
    "200 without proof": {
        ...failure,
        status: "200 OK",
        fields: [eventStream],
        body: `id: 4\ndata: ${errorText}\n\n`,
        proven: false,
    },
};

describe("stream", () => {
    let deployment: TestDeployment;
    before(async () => {
        deployment = await startStreams();
    });
    after(async () => {
        await deployment[Symbol.asyncDispose]();
    });

    for (const [name, resumed] of Object.entries(unusable)) {
        it(`that breaks off contains nothing of an answer that does not resume it: ${name}`, async () => {
            const received = await callStream(deployment, "/stream/", { first: begun, resumed });
            expect(describeAnswer(received)).toEqual([200, false, begun.body]);
        });
    }

    it("that breaks off contains nothing of bytes that are no answer", async () => {
        const received = await callStream(deployment, "/stream/", { first: begun });
        expect(describeAnswer(received)).toEqual([200, false, begun.body]);
    });

    for (const [name, first] of Object.entries(breaks)) {
        for (const framing of ["chunked", "connection"] as const) {
            it(`that is resumed is complete with its first head: ${name}, then ${framing}`, async () => {
                const fields = [eventStream, "weight-versions: 2", "x-second: 1"];
                const resumed: Answer = { fields, framing, body: createEvents(4, 6), ending: "whole" };
                const answers = { first: { ...first, fields: [eventStream, "x-first: 1"] }, resumed };
                const received = await callStream(deployment, "/stream/", answers);
                expect(describeAnswer(received)).toEqual([200, true, createEvents(1, 6)]);
                expect([received.headers["x-first"], received.headers["x-second"]]).toEqual(["1", undefined]);
            });
        }

        it(`that is resumed and breaks off again is incomplete: ${name}`, async () => {
            const resumed: Answer = { framing: "connection", body: `${createEvents(4, 5)}id: 6`, ending: "closed" };
            const received = await callStream(deployment, "/stream/", { first, resumed });
            expect(describeAnswer(received)).toEqual([200, false, createEvents(1, 5)]);
        });

        it(`that cannot be resumed and breaks off is incomplete: ${name}`, async () => {
            const received = await callStream(deployment, "/once/", { first });
            expect(describeAnswer(received)).toEqual([200, false, createEvents(1, 3)]);
        });
    }

    for (const body of ["data: a\n\ndata: b\n\n", "id: 1\ndata: a\n\ndata: b\n\n"]) {
        it(`that has sent an event without an identifier is not resumed: ${JSON.stringify(body)}`, async () => {
            const first: Answer = { framing: "chunked", body, ending: "reset" };
            const resumed: Answer = { framing: "chunked", body: createEvents(2, 3), ending: "whole" };
            const received = await callStream(deployment, "/stream/", { first, resumed });
            expect(describeAnswer(received)).toEqual([200, false, body]);
        });
    }

    for (const framing of ["chunked", "length", "connection"] as const) {
        it(`is complete if it ends after an event: ${framing}`, async () => {
            const first: Answer = { framing, body: createEvents(1, 3), ending: "whole" };
            const received = await callStream(deployment, "/once/", { first });
            expect(describeAnswer(received)).toEqual([200, true, createEvents(1, 3)]);
        });
    }

    it("that begins with a page is relayed as a page", async () => {
        const first: Answer = { ...failure, status: "200 OK", fields: ["content-type: text/html"] };
        const received = await callStream(deployment, "/stream/", { first });
        expect(describeAnswer(received)).toEqual([200, true, failure.body]);
    });
});
