import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { createDisposalStack, type DisposalStack } from "../../utils/index.js";

/**
 * Starts a daemon that owns what it has acquired. If the start fails, everything is released.
 *
 * @param assemble - acquires resources on the stack and returns what the daemon offers
 * @returns the daemon; disposing of it releases its resources
 */
export async function startOwned<Daemon extends object>(
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
