import type { AllowedRegions } from "../../../runtime/gateway/index.js";
import type { IneligibleReason } from "../../../runtime/routing/index.js";
import type { Refusal, ServiceRow } from "../../../types/index.js";
import type { GatewayRequest } from "../types.js";
import type { RegionLimits } from "./regionLimits.js";

/** Dependencies of {@link createEligibility}. */
export interface EligibilityInput {
    readonly regions: RegionLimits;
    /** Explains why no backend server of a service may get a request; undefined if one may. */
    readonly explainIneligible: (
        service: ServiceRow,
        allowedRegions: AllowedRegions,
    ) => IneligibleReason | undefined;
}

/** Request that waits for a place. */
export interface EligibleWait extends Disposable {
    /** Tells whether the request was aborted, or no backend server may get it. */
    readonly isAborted: () => boolean;
    /** Aborted when {@link isAborted} begins to be true; created when it is first read, since few requests wait. */
    readonly signal: AbortSignal;
    /** Reads why no backend server may get it; undefined while one may. */
    readonly readRefusal: () => Refusal | undefined;
}

/** Refuses requests that no backend server may get, instead of letting them wait until their deadline. */
export interface Eligibility {
    /**
     * Explains why a request cannot be served now.
     *
     * @param request - request that has not been sent
     * @returns the refusal; undefined if a backend server may get it
     */
    findRefusal(request: GatewayRequest): Refusal | undefined;
    /**
     * Watches a request while it waits.
     *
     * @param request - the request
     * @returns the wait, to dispose of at its end
     */
    watch(request: GatewayRequest): EligibleWait;
    /** Checks the waiting requests again; called after each change of the configuration or of the backend servers. */
    update(): void;
}

/** Retry time in seconds: what makes a request ineligible lasts, but ends as soon as a backend server is added. */
const retryAfterSeconds = 1;

/**
 * Creates the check of waiting requests.
 *
 * @param input - limits on regions, and the backend servers
 * @returns the check, without waiting requests
 */
export function createEligibility({ explainIneligible, regions }: EligibilityInput): Eligibility {
    const waiting = new Map<GatewayRequest, (refusal: Refusal) => void>();

    function refuse(reason: IneligibleReason | undefined): Refusal | undefined {
        return reason === undefined ? undefined : { ran: "no", reason, retryAfterSeconds };
    }

    return {
        findRefusal: request => refuse(explainIneligible(request.service, regions.find(request))),
        watch: request => {
            let controller: AbortController | undefined;
            let refusal: Refusal | undefined;
            const isAborted = (): boolean => refusal !== undefined || request.signal.aborted;
            const abort = (): void => controller?.abort();

            function openSignal(): AbortSignal {
                if (controller === undefined) {
                    controller = new AbortController();
                    request.signal.addEventListener("abort", abort, { once: true });
                    if (isAborted()) {
                        abort();
                    }
                }
                return controller.signal;
            }

            waiting.set(request, found => {
                refusal = found;
                abort();
            });
            return {
                isAborted,
                get signal() {
                    return openSignal();
                },
                readRefusal: () => refusal,
                [Symbol.dispose]: () => {
                    waiting.delete(request);
                    request.signal.removeEventListener("abort", abort);
                },
            };
        },
        update: () => {
            // Requests of the same service and regions share one check, which visits each backend server of the service.
            const checked = new Map<ServiceRow, Map<AllowedRegions, Refusal | undefined>>();
            for (const [request, abort] of [...waiting]) {
                const { service } = request;
                const allowed = regions.find(request);
                const byRegions = checked.get(service) ?? new Map<AllowedRegions, Refusal | undefined>();
                checked.set(service, byRegions);
                if (!byRegions.has(allowed)) {
                    byRegions.set(allowed, refuse(explainIneligible(service, allowed)));
                }
                const refusal = byRegions.get(allowed);
                if (refusal !== undefined) {
                    abort(refusal);
                }
            }
        },
    };
}
