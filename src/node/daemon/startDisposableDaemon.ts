import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { createDisposalStack, type DisposalStack } from "../../utils/index.js";

/**
 * Starts a daemon that owns the resources that it acquires. If the start fails, they are released.
 *
 * @param assemble - acquires resources on the stack and returns the daemon's interface
 * @returns the daemon; disposing of it releases its resources
 */
export async function startDisposableDaemon<Daemon extends object>(
    assemble: (stack: DisposalStack) => Promise<Result<Daemon, GoldcrestpointError>>,
): Promise<Result<Daemon & AsyncDisposable, GoldcrestpointError>> {
    await using stack = createDisposalStack();
    const started = await assemble(stack);
    if (started.isErr) {
        return err(started.error);
    }
    const owned = stack.move();
    return ok({ ...started.value, [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose]() });
}
