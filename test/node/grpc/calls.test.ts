import { create } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type ExecuteFrame,
    ExecuteFrameSchema,
    type ExecuteRequest,
    ExecuteRequestSchema,
} from "../../../src/generated/goldcrestpoint_pb.js";
import { agentServiceDefinition, createAgentClient, startRpcServer } from "../../../src/node/grpc/index.js";

describe("gRPC calls", () => {
    // Guards against a service definition whose codecs or stream directions differ from the schema.
    it("carries a server stream of typed messages", async () => {
        const started = await startRpcServer("127.0.0.1:0", [{
            definition: agentServiceDefinition,
            implementation: {
                execute: (call: ServerWritableStream<ExecuteRequest, ExecuteFrame>) => {
                    const { requestId } = call.request;
                    call.write(
                        create(ExecuteFrameSchema, {
                            requestId,
                            content: { case: "data", value: new Uint8Array([1, 2]) },
                        }),
                    );
                    call.write(
                        create(ExecuteFrameSchema, {
                            requestId,
                            sequence: 1,
                            content: { case: "end", value: { frames: 1 } },
                        }),
                    );
                    call.end();
                },
            },
        }]);
        expect(started.isOk).toEqual(true);
        if (!started.isOk) {
            return;
        }
        await using server = started.value;
        const client = createAgentClient(`127.0.0.1:${server.port}`);
        const kinds: (string | undefined)[] = [];
        for await (const frame of client.execute(create(ExecuteRequestSchema, { requestId: "a" }))) {
            const { content, requestId } = frame as ExecuteFrame;
            expect(requestId).toEqual("a");
            kinds.push(content.case);
        }
        client.close();
        expect(kinds).toEqual(["data", "end"]);
    });
});
