import { connect, createServer, type Server, type Socket } from "node:net";

/** TCP forwarder that counts the bytes of its connections, including the framing of HTTP and HTTP/2. */
export interface CountingForwarder extends AsyncDisposable {
    readonly address: string;
    /** Bytes in both directions since the start. */
    readonly bytes: number;
}

/**
 * Starts a forwarder on loopback.
 *
 * @param listenPort - port to listen on
 * @param targetPort - port to which connections are forwarded
 * @returns the running forwarder
 */
export async function startCountingForwarder(listenPort: number, targetPort: number): Promise<CountingForwarder> {
    const sockets = new Set<Socket>();
    let bytes = 0;

    function forward(from: Socket, to: Socket): void {
        sockets.add(from);
        from.setNoDelay(true);
        from.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            to.write(chunk);
        });
        from.on("error", () => to.destroy());
        from.on("close", () => {
            sockets.delete(from);
            to.destroy();
        });
    }

    const server: Server = createServer(incoming => {
        const outgoing = connect(targetPort, "127.0.0.1");
        forward(incoming, outgoing);
        forward(outgoing, incoming);
    });
    await new Promise<void>(resolve => server.listen(listenPort, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${listenPort}`,
        get bytes() {
            return bytes;
        },
        [Symbol.asyncDispose]: async () => {
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
}
