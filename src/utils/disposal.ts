/** Owner of resources that are released together, in the reverse order of their acquisition. */
export interface DisposalStack extends AsyncDisposable {
    /**
     * Takes ownership of a resource.
     *
     * @param resource - resource to release
     * @returns the resource
     */
    use<Resource extends Disposable | AsyncDisposable>(resource: Resource): Resource;
    /**
     * Registers an action that runs when the resources are released.
     *
     * @param action - the action
     */
    defer(action: () => void | Promise<void>): void;
    /**
     * Moves the resources to a new stack, so that this one no longer releases them.
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
