/* Unit tests by subject.  Each function adds the CUnit suite of its file. */
#ifndef UNIT_H
#define UNIT_H

#include "../../base/base.h"

void Unit_FindAddress(struct sockaddr_in *out, char text[JD_ADDRESS_MAX]);
void Unit_AddAcceptor(void);
void Unit_AddHttp(void);
void Unit_AddMemory(void);
void Unit_AddCallers(void);
void Unit_AddTarget(void);
void Unit_AddPlatform(void);
void Unit_AddBalance(void);
void Unit_AddPlacing(void);
void Unit_AddHeads(void);
void Unit_AddOverload(void);
void Unit_AddShortage(void);
void Unit_AddLimit(void);
void Unit_AddAccount(void);
void Unit_AddCrash(void);
void Unit_AddRollout(void);
void Unit_AddFollower(void);
void Unit_AddLoop(void);
void Unit_AddStart(void);
void Unit_AddLink(void);
void Unit_AddQuota(void);

#endif
