import { Server, ServerCredentials, type ServiceDefinition, type UntypedServiceImplementation } from "@grpc/grpc-js";
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

/**
 * Starts a gRPC server.
 *
 * @param address - `host:port`; port 0 selects a free one
 * @param services - services to serve
 * @param shutdownTimeLimit - time after the disposal at which calls in progress are canceled
 * @returns the server, or an error if the address cannot be bound
 */
export function startRpcServer(
    address: string,
    services: readonly ServiceBinding[],
    shutdownTimeLimit: Milliseconds = defaultShutdownTimeLimit,
): Promise<Result<RpcServer, GoldcrestpointError>> {
    const server = new Server(channelOptions);
    for (const { definition, implementation } of services) {
        server.addService(definition, implementation);
    }
    return new Promise(resolve => {
        server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
            if (error instanceof Error) {
                resolve(err(createError("PEER_UNREACHABLE", "bind gRPC server", address, error.message)));
                return;
            }
            resolve(ok({ port, [Symbol.asyncDispose]: () => stopServer(server, shutdownTimeLimit) }));
        });
    });
}

function stopServer(server: Server, timeLimit: Milliseconds): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(() => {
            server.forceShutdown();
            resolve();
        }, timeLimit);
        server.tryShutdown(() => {
            clearTimeout(timer);
            resolve();
        });
    });
}
