import { type ClientDuplexStream, type ServiceError, status } from "@grpc/grpc-js";
import { err, ok, type Result } from "true-myth/result";
import type { AvailabilityRequest, AvailabilityResponse } from "../../../generated/goldcrestpoint_pb.js";
import { createError, type GoldcrestpointError, type Milliseconds } from "../../../types/index.js";
import type { AgentClient } from "../../grpc/index.js";

/** Result of an exchange; `unsupported` if the agent is older and serves only single calls. */
export type StreamedAnswer = Result<AvailabilityResponse, GoldcrestpointError> | "unsupported";

/** Exchanges with one other agent over a stream, which takes a quarter of the CPU time of a call for each exchange. */
export interface ExchangeStream extends Disposable {
    /**
     * Sends a request over the stream, which is opened if there is none.
     *
     * @param request - content of the request
     * @param timeLimit - time after which the exchange fails
     * @returns the answer; `PEER_UNREACHABLE` if there is none in time
     */
    exchange(request: AvailabilityRequest, timeLimit: Milliseconds): Promise<StreamedAnswer>;
}

interface WaitingRequest {
    /** True once the time limit has passed; its answer may still arrive and is dropped then. */
    expired: boolean;
    readonly timer: NodeJS.Timeout;
    readonly settle: (answer: StreamedAnswer) => void;
}

type AvailabilityCall = ClientDuplexStream<AvailabilityRequest, AvailabilityResponse>;

/** Requests without an answer in time after which the stream is replaced, since the connection may be dead. */
const maximumExpiredRequests = 2;

/** Time without an exchange after which the stream is closed; an open one keeps its connection in use by pings. */
const idleLimit: Milliseconds = 2_000;

/**
 * Creates the exchanges with one other agent.
 *
 * @param address - `host:port` of the agent, for errors
 * @param client - client of the agent
 * @returns the exchanges; disposing of them closes the stream
 */
export function createExchangeStream(address: string, client: Pick<AgentClient, "streamAvailability">): ExchangeStream {
    let call: AvailabilityCall | undefined;
    let idleTimer: NodeJS.Timeout | undefined;
    /** Requests that were sent over the open stream, in their order. */
    let waiting: WaitingRequest[] = [];

    function createFailure(message: string): StreamedAnswer {
        return err(createError("PEER_UNREACHABLE", "exchange availability", address, message));
    }

    /** Forgets the open stream and fails the requests that wait for it. */
    function detach(answer: StreamedAnswer): void {
        const failed = waiting;
        call = undefined;
        waiting = [];
        clearTimeout(idleTimer);
        failed.forEach(({ settle }) => settle(answer));
    }

    function close(): void {
        const closed = call;
        detach(createFailure("the stream was closed"));
        closed?.cancel();
    }

    function open(): AvailabilityCall {
        const opened = client.streamAvailability();
        const whileOpen = (run: () => void) => () => call === opened && run();
        opened.on("data", (response: AvailabilityResponse) => whileOpen(() => waiting.shift()?.settle(ok(response)))());
        opened.on(
            "error",
            (error: ServiceError) =>
                whileOpen(() =>
                    detach(error.code === status.UNIMPLEMENTED ? "unsupported" : createFailure(error.message))
                )(),
        );
        opened.on("end", whileOpen(() => detach(createFailure("the agent ended the stream"))));
        idleTimer = setTimeout(close, idleLimit);
        call = opened;
        return opened;
    }

    return {
        exchange: (request, timeLimit) => {
            if (waiting.length >= maximumExpiredRequests && waiting.every(({ expired }) => expired)) {
                close();
            }
            const stream = call ?? open();
            idleTimer?.refresh();
            return new Promise(resolve => {
                const row: WaitingRequest = {
                    expired: false,
                    timer: setTimeout(() => {
                        row.expired = true;
                        resolve(createFailure(`no answer within ${timeLimit} ms`));
                    }, timeLimit),
                    settle: answer => {
                        clearTimeout(row.timer);
                        resolve(answer);
                    },
                };
                waiting.push(row);
                stream.write(request);
            });
        },
        [Symbol.dispose]: close,
    };
}
