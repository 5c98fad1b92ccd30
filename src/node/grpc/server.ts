import {
    Server,
    ServerCredentials,
    ServerInterceptingCall,
    type ServerInterceptingCallInterface,
    type ServerInterceptor,
    type ServiceDefinition,
    status,
    type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { err, ok, type Result } from "true-myth/result";
import { createError, type GoldcrestpointError, type Milliseconds } from "../../types/index.js";
import { channelOptions } from "./channelOptions.js";

/** Running gRPC server. */
export interface RpcServer extends AsyncDisposable {
    /** Port that the server listens on. */
    readonly port: number;
}

/** Service with its implementation. */
export interface ServiceBinding {
    readonly definition: ServiceDefinition;
    readonly implementation: UntypedServiceImplementation;
}

const defaultShutdownTimeLimit: Milliseconds = 2_000;
/** Share of the time limit of a shutdown in which the status of the calls that are left is sent. */
const statusShare = 0.25;

interface OpenCalls {
    readonly interceptor: ServerInterceptor;
    /** Ends all calls with a status. */
    end(): void;
}

function createOpenCalls(): OpenCalls {
    const open = new Set<ServerInterceptingCallInterface>();
    const interceptor: ServerInterceptor = (...[, call]) => {
        open.add(call);
        return new ServerInterceptingCall(call, {
            start: next =>
                next({
                    onCancel: () => {
                        open.delete(call);
                    },
                }),
            sendStatus: (content, next) => {
                open.delete(call);
                next(content);
            },
        });
    };
    return {
        interceptor,
        end: () =>
            open.forEach(call => {
                open.delete(call);
                call.sendStatus({ code: status.UNAVAILABLE, details: "the server has stopped" });
            }),
    };
}

/**
 * Starts a gRPC server.
 *
 * @param address - `host:port`; port 0 selects a free one
 * @param services - services to serve
 * @param shutdownTimeLimit - time after the disposal at which connections are closed; calls in progress end before
 * @returns the server, or an error if the address cannot be bound
 */
export function startRpcServer(
    address: string,
    services: readonly ServiceBinding[],
    shutdownTimeLimit: Milliseconds = defaultShutdownTimeLimit,
): Promise<Result<RpcServer, GoldcrestpointError>> {
    const calls = createOpenCalls();
    const server = new Server({ ...channelOptions, interceptors: [calls.interceptor] });
    for (const { definition, implementation } of services) {
        server.addService(definition, implementation);
    }
    return new Promise(resolve => {
        server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
            if (error instanceof Error) {
                resolve(err(createError("PEER_UNREACHABLE", "bind gRPC server", address, error.message)));
                return;
            }
            resolve(ok({ port, [Symbol.asyncDispose]: () => stopServer(server, calls, shutdownTimeLimit) }));
        });
    });
}

function stopServer(server: Server, calls: OpenCalls, timeLimit: Milliseconds): Promise<void> {
    return new Promise(resolve => {
        const statusTimer = setTimeout(() => calls.end(), timeLimit * (1 - statusShare));
        const timer = setTimeout(() => {
            server.forceShutdown();
            resolve();
        }, timeLimit);
        server.tryShutdown(() => {
            clearTimeout(statusTimer);
            clearTimeout(timer);
            resolve();
        });
    });
}
