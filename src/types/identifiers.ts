/** Identifier of an instance, as the platform's instance list gives it. */
export type InstanceId = string;
/** Name of an availability zone, for example `sando-hall`. */
export type AvailabilityZone = string;
/** Name of a region, for example `south-tt`. */
export type Region = string;
/** Name of a deployment, unique within the system. */
export type DeploymentName = string;
/** Account of a caller, to which the limits on its requests apply. */
export type ClientAccount = string;
/** Identifier of a caller's request, chosen by the entry instance. */
export type RequestId = string;
/** Position of a record in the platform's log; 0 stands for "before the first record". */
export type Offset = number;
/** Lower-case hexadecimal SHA-256 digest of a manifest's canonical form. */
export type ManifestDigest = string;
/** Lower-case hexadecimal SHA-256 digest of a request's method, path and body. */
export type Fingerprint = string;
/** Length of time in milliseconds. */
export type Milliseconds = number;
