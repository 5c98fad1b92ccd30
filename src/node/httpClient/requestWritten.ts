import type { Dispatcher } from "undici";

/** Tells whether a request may have reached the peer. */
export interface WrittenMark {
    written: boolean;
}

/**
 * Creates the mark of a request, to be passed as its `opaque` option.
 *
 * @returns the mark
 */
export function createWrittenMark(): WrittenMark {
    return { written: false };
}

/**
 * Interceptor that sets the mark of a request immediately before undici writes the request to an open connection.
 * A refused or timed-out connection attempt leaves the mark unset.
 *
 * @param dispatch - next dispatch function
 * @returns dispatch function that sets marks
 */
export function reportWrittenRequests(dispatch: Dispatcher["dispatch"]): Dispatcher["dispatch"] {
    return (options, handler) => {
        const { opaque } = options as unknown as { readonly opaque: WrittenMark; };
        return dispatch(options, {
            onRequestStart: (controller, context) => {
                handler.onRequestStart?.(controller, context);
                opaque.written = !controller.aborted;
            },
            onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
            onResponseStart: (...parameters) => handler.onResponseStart?.(...parameters),
            onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
            onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
            onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
        });
    };
}
