/** Owner of resources that are released together, in the reverse order of their acquisition. */
export interface DisposalStack extends AsyncDisposable {
    /**
     * Takes a resource over.
     *
     * @param resource - what to release later
     * @returns the resource
     */
    use<Resource extends Disposable | AsyncDisposable>(resource: Resource): Resource;
    /**
     * Registers an action to run on release.
     *
     * @param action - the action
     */
    defer(action: () => void | Promise<void>): void;
    /**
     * Hands the resources to a new stack, so that this one releases nothing.
     *
     * @returns the new owner
     */
    move(): DisposalStack;
}

/**
 * Creates an empty stack. Node 20 has no `AsyncDisposableStack`.
 *
 * @returns the stack
 */
export function createDisposalStack(): DisposalStack {
    return createStack([]);
}

function createStack(actions: (() => void | Promise<void>)[]): DisposalStack {
    return {
        use: resource => {
            actions.push(() =>
                Symbol.asyncDispose in resource ?
                    Promise.resolve(resource[Symbol.asyncDispose]()) :
                    resource[Symbol.dispose]()
            );
            return resource;
        },
        defer: action => {
            actions.push(action);
        },
        move: () => createStack(actions.splice(0)),
        [Symbol.asyncDispose]: async () => {
            for (const action of actions.splice(0).reverse()) {
                await action();
            }
        },
    };
}
