/* Frames with a large body, which is neither copied when they are sent nor
 * when they are received. */
#ifndef JD_PEER_FRAME_BODY_H
#define JD_PEER_FRAME_BODY_H

#include "../base/base.h"

/* Size in bytes of the length in front of a frame, which is big-endian. */
#define JD_FRAME_LENGTH_SIZE 4
/* Bytes at the start of a frame that tell what it is. */
#define JD_FRAME_HEAD_MAX 64

/* What the start of a frame tells. */
typedef struct JdFrameHead {
    Jd__Frame__BodyCase kind;
    uint64_t id; /* of a request, response or chunk, 0: unknown */
} JdFrameHead;

void JdFrameHead_Parse(const uint8_t *data, size_t n, JdFrameHead *out);
void JdFrame_PutLength(uint8_t *to, size_t n);
GByteArray *JdFrameBody_Pack(const Jd__Frame *frame, size_t body_len);
Jd__Frame *JdFrameBody_Unpack(JdBody *received, bool *has_body);

#endif
