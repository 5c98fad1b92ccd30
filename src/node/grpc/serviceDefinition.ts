import { type DescMessage, type DescService, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MethodDefinition, ServiceDefinition } from "@grpc/grpc-js";

/**
 * Creates a serializer that encodes a message once if it is sent to several receivers in succession, as load reports are.
 * A message must not be changed after it was sent.
 */
function createSerializer(schema: DescMessage): (message: unknown) => Buffer {
    let last: { readonly message: unknown; readonly bytes: Buffer; } | undefined;
    return message => {
        if (last?.message !== message) {
            last = { message, bytes: Buffer.from(toBinary(schema, message as never)) };
        }
        return last!.bytes;
    };
}

/**
 * Derives the definition that `@grpc/grpc-js` needs from a generated service.
 *
 * @param service - generated service descriptor
 * @returns definition with the method names of the schema in lower camel case
 */
export function createServiceDefinition(service: DescService): ServiceDefinition {
    const definition: Record<string, MethodDefinition<unknown, unknown>> = {};
    for (const method of service.methods) {
        definition[method.localName] = {
            path: `/${service.typeName}/${method.name}`,
            requestStream: method.methodKind === "client_streaming" || method.methodKind === "bidi_streaming",
            responseStream: method.methodKind === "server_streaming" || method.methodKind === "bidi_streaming",
            requestSerialize: message => Buffer.from(toBinary(method.input, message as never)),
            requestDeserialize: bytes => fromBinary(method.input, bytes),
            responseSerialize: createSerializer(method.output),
            responseDeserialize: bytes => fromBinary(method.output, bytes),
        };
    }
    return definition;
}
