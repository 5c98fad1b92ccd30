import { createServer } from "node:net";

/** Stands for a machine without power: channels to it get no byte. Returns a function that ends it. */
export async function startSilentMachine(ip: string, ports: readonly number[]): Promise<() => void> {
    const servers = await Promise.all(ports.map(async port => {
        const server = createServer(socket => {
            socket.on("error", () => {});
            socket.pause();
        });
        await new Promise<void>(resolve => server.listen(port, ip, resolve));
        return server;
    }));
    return () => servers.forEach(server => server.close());
}
