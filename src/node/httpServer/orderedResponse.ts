import { type IncomingMessage, ServerResponse } from "node:http";

/** Response that asks for the end of its connection only if no later request has arrived on it. */
export class OrderedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
    /** True once a later request has arrived on the connection. */
    isFollowed = false;
    private closes = false;

    /**
     * Tells whether the head was sent and ends the connection after this response.
     *
     * @returns true if later requests on the connection get no response
     */
    endsConnection(): boolean {
        return this.closes;
    }

    /**
     * Sends the head, without `connection: close` if later responses are owed.
     *
     * @param status - HTTP status
     * @param rest - reason and headers as for Node's response
     * @returns this response
     */
    override writeHead(status: number, ...rest: unknown[]): this {
        if (this.isFollowed) {
            this.removeHeader("connection");
        }
        this.closes = this.getHeader("connection") === "close";
        return super.writeHead(status, ...rest as []);
    }
}
