/** The headers of a unary call of the Connect protocol in binary encoding. */
export const unaryHeaders = {
  "content-type": "application/proto",
  "connect-protocol-version": "1",
};
